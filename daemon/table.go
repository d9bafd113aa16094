package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/table"
)

const (
	tableStream    = "table"
	tableReadLimit = 500
	tableReadWait  = time.Second
	tableRetry     = 200 * time.Millisecond
)

// Table follows the table stream. The goroutine in Follow owns the fold; View
// and Offset are safe for concurrent use.
type Table struct {
	log    platform.Log
	logger zerolog.Logger
	fold   *table.Fold
	view   atomic.Pointer[table.View]
}

// NewTable returns a table without a view.
func NewTable(log platform.Log, logger zerolog.Logger) *Table {
	t := &Table{log: log, logger: logger, fold: table.NewFold()}
	t.view.Store(t.fold.View())
	return t
}

// View returns the table in force. It is empty until Loaded.
func (t *Table) View() *table.View { return t.view.Load() }

// Loaded reports whether a record was read.
func (t *Table) Loaded() bool { return t.Offset() > 0 }

// Offset returns the offset of the table in force.
func (t *Table) Offset() platform.Offset { return t.View().Offset() }

// Follow applies records until ctx ends. During an outage of the log the table
// in force stays.
func (t *Table) Follow(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := t.read(ctx); err != nil && ctx.Err() == nil {
			t.logger.Warn().Err(err).Msg("table stream")
			pause(ctx, tableRetry)
		}
	}
	return nil
}

func (t *Table) read(ctx context.Context) error {
	batch, err := t.log.Read(ctx, tableStream, t.fold.Offset(), tableReadLimit, tableReadWait)
	if err != nil || len(batch.Records) == 0 {
		return err
	}
	for _, r := range batch.Records {
		t.fold.Apply(r)
	}
	t.view.Store(t.fold.View())
	return nil
}
