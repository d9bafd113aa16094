// Package demo runs a whole deployment on loopback in one process, sends real
// HTTP calls of each kind and reports whether each answer was whole and each
// booking ran exactly once.
package demo

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/config/tablesync"
	"github.com/filbertmux/filbertmux/examples"
)

// organisation is the caller of all demo calls.
const organisation = "mureseni-desk"

// readyTimeout bounds the wait until both entries have the published table.
const readyTimeout = 30 * time.Second

// Run deploys the system, publishes the example table, makes the calls and
// stops everything. Log lines of the daemons go to logs. The report is complete
// if the error is nil; Report.OK says whether the calls went well.
func Run(ctx context.Context, logs io.Writer) (report Report, err error) {
	d, err := deploy(ctx, logs)
	defer func() {
		if stopErr := d.stop(context.WithoutCancel(ctx)); err == nil && stopErr != nil {
			err = stopErr
		}
	}()
	if err != nil {
		return Report{}, err
	}
	offset, err := publish(ctx, d.platform)
	if err != nil {
		return Report{}, err
	}
	c := newCaller(d)
	if err := c.awaitTable(ctx, offset); err != nil {
		return Report{}, err
	}
	report = c.calls(ctx)
	report.TableOffset = offset
	report.judge()
	return report, nil
}

// publish appends one change set for each office of the example table and
// returns the offset of the last one.
func publish(ctx context.Context, log infra.Log) (infra.Offset, error) {
	sheet, err := table.LoadDir(examples.Demo())
	if err != nil {
		return 0, errors.Wrap(err, "example table")
	}
	fold := table.NewState()
	for _, office := range sheet.Offices() {
		id := uuid.Must(uuid.NewV7()).String()
		data, err := table.Diff(fold.View(), sheet, office, id).Encode()
		if err != nil {
			return 0, errors.Wrap(err, "change set")
		}
		offset, err := log.Append(ctx, tablesync.DefaultStream, data)
		if err != nil {
			return 0, errors.Wrap(err, "publish")
		}
		verdict := fold.Apply(infra.Record{Offset: offset, Data: data})
		if verdict.Outcome != table.OutcomeAccepted {
			return 0, errkind.New(errkind.InvalidTable, "change set of %s was refused: %v", office, verdict.Faults)
		}
	}
	return fold.Offset(), nil
}
