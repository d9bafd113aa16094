// Package demo runs a complete deployment on loopback in one process, sends
// HTTP calls of each kind and reports whether each response was complete and
// correct and each non-idempotent request ran exactly once.
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

// organisation is the organisation whose API key all demo calls use.
const organisation = "mureseni-desk"

// readyTimeout bounds the wait until all entries have the published table.
const readyTimeout = 30 * time.Second

// Run starts the deployment, publishes the example table, makes the calls and
// stops everything. The daemons log to logs. The report is complete if the error
// is nil; Report.OK tells whether every check passed.
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
	c := newDemoClient(d)
	if err := c.awaitTable(ctx, offset); err != nil {
		return Report{}, err
	}
	report = c.runAllCalls(ctx)
	report.TableOffset = offset
	report.setOK()
	return report, nil
}

// publish appends one change set for each office of the example table to the log
// and returns the offset of the last one.
func publish(ctx context.Context, log infra.Log) (infra.Offset, error) {
	csvTable, err := table.LoadDir(examples.Demo())
	if err != nil {
		return 0, errors.Wrap(err, "load the example table")
	}
	state := table.NewState()
	for _, office := range csvTable.Offices() {
		id := uuid.Must(uuid.NewV7()).String()
		data, err := table.Diff(state.View(), csvTable, office, id).Encode()
		if err != nil {
			return 0, errors.Wrap(err, "encode a change set")
		}
		offset, err := log.Append(ctx, tablesync.DefaultStream, data)
		if err != nil {
			return 0, errors.Wrap(err, "append a change set")
		}
		verdict := state.Apply(infra.Record{Offset: offset, Data: data})
		if verdict.Outcome != table.OutcomeAccepted {
			return 0, errkind.New(errkind.InvalidTable, "change set of office %s was rejected: %v", office, verdict.Faults)
		}
	}
	return state.Offset(), nil
}
