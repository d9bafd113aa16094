package tablesync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/table"
)

// neverDueRetention is a retention time so long that no snapshot becomes due
// while a command runs.
const neverDueRetention = 100 * 365 * 24 * time.Hour

// commandRequestTimeout is how long a command waits for one response of the log.
// It is longer than that of a daemon, because a command reads only once and has
// no peers to read from.
const commandRequestTimeout = 5 * time.Second

// ReadOnce returns the table state at the end of the log. The caller owns it.
func ReadOnce(ctx context.Context, log infra.Log) (*table.State, error) {
	s, err := New(log, nil, SystemClock{}, rand.New(rand.NewPCG(0, 0)), Options{
		Retention: neverDueRetention, ReadWait: time.Millisecond, RequestTimeout: commandRequestTimeout, Logger: zerolog.Nop(),
	})
	if err != nil {
		return nil, err
	}
	for !s.Loaded() {
		if !s.readLog(ctx) {
			return nil, errkind.New(errkind.LogUnavailable, "the table could not be read from the log")
		}
	}
	return s.state, nil
}
