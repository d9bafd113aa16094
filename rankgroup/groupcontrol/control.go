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

// Capacities of the rings. The state machines repeat what a full ring drops.
const (
	inboxCapacity   = 1024
	commandCapacity = 256
	peerCapacity    = 64
)

// Control runs the control of a group in one sidecar. Run is called once; the
// other methods are safe for concurrent use.
type Controller struct {
	opts     Options
	backend  *backend
	inbox    *ring.Queue[event]
	commands *ring.Queue[mapswitch.Output]
	missing  *ring.Queue[[]rankapi.WeightsID]
	peers    []*peer
	reported *reported

	// busy says that the state of the ranks is to be read often.
	busy atomic.Bool
	// idle says that this process is the holder and can accept a plan.
	idle  atomic.Bool
	mu    sync.Mutex
	stats Stats
}

// Stats are counts since the start of the process.
type Stats struct {
	// Holding says that this process holds the lease and has taken over.
	IsCoordinator bool `json:"holding"`
	// Finished and Undone count the plans of this process by outcome.
	Committed int `json:"finished"`
	Aborted   int `json:"undone"`
	// Refused counts commands of holders that failed the check of the token.
	RefusedCommands int `json:"refused"`
	// Moves counts the experts that finished plans moved.
	MovedExperts int `json:"moves"`
	// LastSwitch is the time from the last plan to its end.
	LastSwitchDuration time.Duration `json:"last_switch"`
	// LastReason tells why the planner did or did not rebalance.
	LastReason string `json:"last_reason"`
}

// event is what the core goroutine receives. One field is set, or none at a
// tick.
type event struct {
	message mapswitch.Message
	from    mapswitch.MemberID
	states  []mapswitch.RankState
	opened  uint64
	plan    *proposal
}

// proposal is a map from the planner.
type proposal struct {
	target experts.Map
	moves  int
	result chan error
}

// New returns a Control that does nothing before Run.
func New(o Options) (*Controller, error) {
	if o.MemberCount < 1 || int(o.MemberID) >= o.MemberCount || len(o.Ranks) == 0 {
		return nil, errkind.New(errkind.InvalidSettings, "member %d of %d with ranks %v", o.MemberID, o.MemberCount, o.Ranks)
	}
	b, err := newBackend(o.RankURL, o.BackendClient)
	if err != nil {
		return nil, err
	}
	c := &Controller{
		opts: o, backend: b, reported: newReported(o.Incarnation),
		inbox:    ring.New[event](ring.Config{Name: "group inbox", Capacity: inboxCapacity, Policy: ring.DropOldest}),
		commands: ring.New[mapswitch.Output](ring.Config{Name: "rank commands", Capacity: commandCapacity, Policy: ring.Reject}),
		missing:  ring.New[[]rankapi.WeightsID](ring.Config{Name: "missing weights", Capacity: 1, Policy: ring.DropOldest}),
	}
	for id := range o.MemberCount {
		c.peers = append(c.peers, newPeer(c, mapswitch.MemberID(id)))
	}
	return c, nil
}

// Stats returns the counts so far.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

func (c *Controller) count(change func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.stats)
}

// Run controls the group until ctx ends or another sidecar has taken the place
// of this one.
func (c *Controller) Run(ctx context.Context) error {
	c.opts.Lease.Campaign(c.opts.Group)
	group, ctx := errgroup.WithContext(ctx)
	run := func(duty func(context.Context) error) {
		group.Go(func() error { return duty(ctx) })
	}
	run(newCore(c).run)
	run(c.tick)
	run(newCommander(c).run)
	run(newStager(c).run)
	run(newPlanner(c).run)
	for id, p := range c.peers {
		if mapswitch.MemberID(id) != c.opts.MemberID {
			run(p.run)
		}
	}
	err := group.Wait()
	c.count(func(s *Stats) { s.IsCoordinator = false })
	return err
}

func (c *Controller) tick(ctx context.Context) error {
	ticker := time.NewTicker(c.opts.Timing.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.push(event{})
		case <-ctx.Done():
			return nil
		}
	}
}

// push never blocks: a full inbox drops its oldest event.
func (c *Controller) push(e event) { _ = c.inbox.Push(context.Background(), e) }
