package groupcontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/ring"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/mapswitch"
	"github.com/filbertmux/filbertmux/rankgroup/rankapi"
)

// Capacities of the rings. The state machines retransmit what a full ring drops.
const (
	inboxCapacity   = 1024
	commandCapacity = 256
	outboxCapacity  = 64
)

// Controller controls a rank group from one sidecar. Run is called once; the
// other methods are safe for concurrent use.
type Controller struct {
	opts           Options
	ranks          *rankClient
	inbox          *ring.Queue[event]
	commands       *ring.Queue[mapswitch.Output]
	missingWeights *ring.Queue[[]rankapi.WeightsID]
	peers          []*peer
	countReporter  *countReporter

	// readOften is set while the ranks are to be read at BusyReadInterval.
	readOften atomic.Bool
	// acceptsPlan is set while this process runs the coordinator and it is
	// idle.
	acceptsPlan atomic.Bool
	mu          sync.Mutex
	stats       Stats
}

// Stats is the state of a Controller with counts since the process start.
type Stats struct {
	// IsCoordinator reports whether this process holds the lease and has taken
	// over from the previous coordinator.
	IsCoordinator bool `json:"holding"`
	// Committed and Aborted count the plans of this process by outcome.
	Committed int `json:"finished"`
	Aborted   int `json:"undone"`
	// RefusedCommands counts commands of coordinators that failed the token
	// check.
	RefusedCommands int `json:"refused"`
	// MovedExperts counts the experts moved by committed plans.
	MovedExperts int `json:"moves"`
	// LastSwitchDuration is the time from the submission of the last plan to
	// its outcome.
	LastSwitchDuration time.Duration `json:"last_switch"`
	// LastReason is the reason of the planner's last decision, or the kind of
	// the error that prevented it.
	LastReason string `json:"last_reason"`
}

// event is an input of the event loop. A message comes with its sender; else
// only one field is set, or none at a tick.
type event struct {
	message       mapswitch.Message
	from          mapswitch.MemberID
	states        []mapswitch.RankState
	openedSession uint64
	plan          *plannedSwitch
}

// plannedSwitch is a plan that the planner submits to the event loop. result
// receives whether the coordinator accepted it.
type plannedSwitch struct {
	target       experts.Map
	movedExperts int
	result       chan error
}

// New returns a Controller that does nothing before Run.
func New(o Options) (*Controller, error) {
	if o.MemberCount < 1 || int(o.MemberID) >= o.MemberCount || len(o.Ranks) == 0 {
		return nil, errkind.New(errkind.InvalidSettings, "member %d of %d with ranks %v", o.MemberID, o.MemberCount, o.Ranks)
	}
	ranks, err := newRankClient(o.RankURL, o.BackendClient)
	if err != nil {
		return nil, err
	}
	c := &Controller{
		opts: o, ranks: ranks, countReporter: newCountReporter(o.Incarnation),
		inbox:          ring.New[event](ring.Config{Name: "group inbox", Capacity: inboxCapacity, Policy: ring.DropOldest}),
		commands:       ring.New[mapswitch.Output](ring.Config{Name: "rank commands", Capacity: commandCapacity, Policy: ring.Reject}),
		missingWeights: ring.New[[]rankapi.WeightsID](ring.Config{Name: "missing weights", Capacity: 1, Policy: ring.DropOldest}),
	}
	for id := range o.MemberCount {
		c.peers = append(c.peers, newPeer(c, mapswitch.MemberID(id)))
	}
	return c, nil
}

// Stats returns a copy of the current stats.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

func (c *Controller) updateStats(change func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.stats)
}

// Run controls the group until ctx ends or another sidecar has opened a session
// with the backend server.
func (c *Controller) Run(ctx context.Context) error {
	c.opts.Lease.Campaign(c.opts.Group)
	group, ctx := errgroup.WithContext(ctx)
	run := func(task func(context.Context) error) {
		group.Go(func() error { return task(ctx) })
	}
	run(newEventLoop(c).run)
	run(c.tick)
	run(newCommandSender(c).run)
	run(newWeightStager(c).run)
	run(newPlanner(c).run)
	for id, p := range c.peers {
		if mapswitch.MemberID(id) != c.opts.MemberID {
			run(p.run)
		}
	}
	err := group.Wait()
	c.updateStats(func(s *Stats) { s.IsCoordinator = false })
	return err
}

func (c *Controller) tick(ctx context.Context) error {
	ticker := time.NewTicker(c.opts.Timing.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.pushEvent(event{})
		case <-ctx.Done():
			return nil
		}
	}
}

// pushEvent never blocks: a full inbox drops its oldest event.
func (c *Controller) pushEvent(e event) { _ = c.inbox.Push(context.Background(), e) }
