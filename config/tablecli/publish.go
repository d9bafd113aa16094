package tablecli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/config/tablesync"
)

// pollInterval is the time between retries and between rounds of status requests.
const pollInterval = 200 * time.Millisecond

// PublishCmd publishes a change set.
type PublishCmd struct {
	Source
	Edit
	Wait    bool          `help:"Return when every instance has applied the change."`
	Timeout time.Duration `default:"30s" help:"Time for the whole command."`
}

// Run implements the command.
func (c *PublishCmd) Run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	client, state, err := c.read(ctx)
	if err != nil {
		return err
	}
	set, err := c.changeSet(state)
	if err != nil {
		return err
	}
	printChanges(out, set)
	if len(set.Changes) == 0 {
		return nil
	}
	if err := table.FaultsError(state.Check(set)); err != nil {
		return err
	}
	verdict, err := publish(ctx, client, set)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "%s: change set %s at offset %d\n", verdict.Outcome, verdict.ID, verdict.Offset)
	if verdict.Outcome != table.OutcomeAccepted || !c.Wait {
		return verdict.Err()
	}
	poller := newOffsetPoller(statusRequestTimeout)
	defer poller.close()
	return waitUntilApplied(ctx, client, poller, verdict.Offset, out)
}

// publish appends the set until its verdict can be read from the log. Of several
// records with the same ID only the first takes effect, so it is safe to append
// again after a lost response.
func publish(ctx context.Context, log infra.Log, set table.ChangeSet) (table.Verdict, error) {
	data, err := set.Encode()
	if err != nil {
		return table.Verdict{}, err
	}
	// The error is ignored, because the append may have taken effect. Only the
	// verdict in the log shows whether it has.
	_, _ = log.Append(ctx, tablesync.DefaultStream, data)
	for {
		if state, err := tablesync.ReadOnce(ctx, log); err == nil {
			if v, ok := state.VerdictOf(set.ID); ok {
				return v, nil
			}
			_, _ = log.Append(ctx, tablesync.DefaultStream, data)
		}
		if !clock.Sleep(ctx, pollInterval) {
			return table.Verdict{}, errkind.New(errkind.PublishUnknown, "change set %s: the verdict could not be read from the log; check with the status command", set.ID)
		}
	}
}

// waitUntilApplied returns when every listed instance has reported the offset, or
// with an error when ctx is done.
func waitUntilApplied(ctx context.Context, list infra.InstanceList, poller *offsetPoller, offset infra.Offset, out io.Writer) error {
	var late []string
	listed := false
	for {
		instances, _, err := infra.ValidInstances(ctx, list)
		if err == nil {
			listed = true
			late = poller.pollLate(ctx, instances, offset)
		}
		if err == nil && len(late) == 0 {
			_, err = fmt.Fprintf(out, "in force on %d instance(s)\n", len(instances))
			return err
		}
		if !clock.Sleep(ctx, pollInterval) {
			return waitTimeout(late, listed, offset)
		}
	}
}

func waitTimeout(late []string, listed bool, offset infra.Offset) error {
	if !listed {
		return errkind.New(errkind.WaitTimeout, "the change is accepted at table offset %d; the instance list could not be read", offset)
	}
	return errkind.New(errkind.WaitTimeout, "%d instance(s) have not reported table offset %d: %s", len(late), offset, formatIDs(late))
}
