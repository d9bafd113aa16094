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

// noSnapshots is a retention after which no command is still running.
const noSnapshots = 100 * 365 * 24 * time.Hour

// commandSlack is how long a command waits for one answer of the log. A command
// reads once and has no peers, so it bears a slower log than a daemon.
const commandSlack = 5 * time.Second

// ReadOnce returns the fold at the end of the log. The caller owns it.
func ReadOnce(ctx context.Context, log infra.Log) (*table.State, error) {
	s, err := New(log, nil, SystemClock{}, rand.New(rand.NewPCG(0, 0)), Options{
		Retention: noSnapshots, ReadWait: time.Millisecond, RequestTimeout: commandSlack, Logger: zerolog.Nop(),
	})
	if err != nil {
		return nil, err
	}
	for !s.Loaded() {
		if !s.readLog(ctx) {
			return nil, errkind.New(errkind.LogUnavailable, "the table could not be read from the log")
		}
	}
	return s.fold, nil
}
