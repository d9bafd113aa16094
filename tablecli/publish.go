package tablecli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertmux/filbertmux/errkind"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/table"
	"github.com/filbertmux/filbertmux/tablesync"
)

const (
	// pollInterval spaces retries and status questions.
	pollInterval = 200 * time.Millisecond
	// statusTimeout bounds one status question.
	statusTimeout = time.Second
	// maxQuestions bounds the status questions in flight. 930 instances with
	// 1 ms each take 15 ms; 64 that do not answer delay a round by 1 s.
	maxQuestions = 64
	// maxNamed bounds the instances that a message names.
	maxNamed = 10
)

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
	client, err := c.client()
	if err != nil {
		return err
	}
	f, err := tablesync.ReadOnce(ctx, client)
	if err != nil {
		return err
	}
	set, err := c.changeSet(f)
	if err != nil {
		return err
	}
	printChanges(out, set)
	if len(set.Changes) == 0 {
		return nil
	}
	if err := table.FaultsError(f.Check(set)); err != nil {
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
	return waitInForce(ctx, client, verdict.Offset, out)
}

// publish appends the set until its verdict is read back. Records with the
// same ID count once, so a lost answer is resolved by appending again.
func publish(ctx context.Context, log platform.Log, set table.ChangeSet) (table.Verdict, error) {
	data, err := set.Encode()
	if err != nil {
		return table.Verdict{}, err
	}
	// The verdict is read back in any case, so an append error decides nothing.
	_, _ = log.Append(ctx, tablesync.DefaultStream, data)
	for {
		if f, err := tablesync.ReadOnce(ctx, log); err == nil {
			if v, ok := f.VerdictOf(set.ID); ok {
				return v, nil
			}
			_, _ = log.Append(ctx, tablesync.DefaultStream, data)
		}
		if !pause(ctx) {
			return table.Verdict{}, errkind.New(errkind.PublishUnknown, "change set %s: the verdict could not be read back; see status", set.ID)
		}
	}
}

func pause(ctx context.Context) bool {
	select {
	case <-time.After(pollInterval):
		return true
	case <-ctx.Done():
		return false
	}
}

// waitInForce returns when every listed instance reports the offset.
func waitInForce(ctx context.Context, list platform.InstanceList, offset platform.Offset, out io.Writer) error {
	var missing []string
	for {
		instances, err := list.Instances(ctx)
		if err == nil {
			missing = behind(ctx, instances, offset)
		}
		if err == nil && len(missing) == 0 {
			_, err = fmt.Fprintf(out, "in force on %d instance(s)\n", len(instances))
			return err
		}
		if !pause(ctx) {
			return waitTimeout(missing, offset)
		}
	}
}

func waitTimeout(missing []string, offset platform.Offset) error {
	if len(missing) == 0 {
		return errkind.New(errkind.WaitTimeout, "the change is accepted at table offset %d; the instance list could not be read", offset)
	}
	return errkind.New(errkind.WaitTimeout, "%d instance(s) have not reported table offset %d: %s",
		len(missing), offset, strings.Join(missing[:min(len(missing), maxNamed)], " "))
}

// behind returns the ids of the instances that have not reported the offset.
// It asks several at once: one that does not answer takes statusTimeout.
func behind(ctx context.Context, instances []platform.Instance, offset platform.Offset) []string {
	late := make([]bool, len(instances))
	var group errgroup.Group
	group.SetLimit(maxQuestions)
	for n, i := range instances {
		group.Go(func() error {
			late[n] = tableOffset(ctx, i.Address) < offset
			return nil
		})
	}
	_ = group.Wait() // no question returns an error
	var missing []string
	for n, i := range instances {
		if late[n] {
			missing = append(missing, i.ID)
		}
	}
	return missing
}

// tableOffset returns the offset that an instance reports, or 0.
func tableOffset(ctx context.Context, address string) platform.Offset {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/statusz", nil)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var status struct {
		TableOffset platform.Offset `json:"table_offset"`
	}
	if json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&status) != nil {
		return 0
	}
	return status.TableOffset
}
