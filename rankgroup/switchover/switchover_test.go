package switchover_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/internal/seeds"
	"github.com/filbertmux/filbertmux/platform/platformtest"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/switchover"
)

const ranks = 4

func newCoordinator(own int) *switchover.Coordinator {
	return switchover.New(switchover.Config{Own: own, HoldAt: (own + 1) % ranks, Ranks: ranks, Lead: 3})
}

func reportsOf(g *platformtest.Group, absent int) []switchover.Report {
	var reports []switchover.Report
	for r := range ranks {
		if r != absent {
			reports = append(reports, g.Report(r))
		}
	}
	return reports
}

// drive gives the orders of a coordinator until its phase is Idle.
func drive(t *testing.T, g *platformtest.Group, c *switchover.Coordinator, fence, version int64) {
	t.Helper()
	for range 200 {
		orders := c.Next(reportsOf(g, -1), &experts.Map{}, version)
		if c.Phase() == switchover.Idle {
			return
		}
		for _, o := range orders {
			if g.Order(o, fence, nil) < 300 {
				c.Accepted(o)
			}
		}
		g.Tick()
	}
	t.Fatalf("not idle after 200 rounds: %s", c.Phase())
}

// Guards against a switch that ends without the new map, or on two maps.
func TestSwitch(t *testing.T) {
	g := platformtest.NewGroup(ranks, 1, 8)
	c := newCoordinator(0)
	c.Next(reportsOf(g, -1), &experts.Map{}, 7)
	require.Equal(t, switchover.Idle, c.Phase())
	require.True(t, c.Submit(7, &experts.Map{}))
	drive(t, g, c, 1, 8)
	for r := range ranks {
		require.EqualValues(t, 7, g.Report(r).InForce)
		require.Zero(t, g.Report(r).Held)
	}
	require.Empty(t, g.Violations())
}

// Guards against a plan for a map that is no longer in force: a group that forms
// anew uses map 0 again.
func TestNewEpochDropsPlan(t *testing.T) {
	g := platformtest.NewGroup(ranks, 1, 8)
	c := newCoordinator(0)
	c.Next(reportsOf(g, -1), &experts.Map{}, 7)
	require.True(t, c.Submit(7, &experts.Map{}))
	for _, o := range c.Next(reportsOf(g, -1), &experts.Map{}, 8) {
		g.Order(o, 1, nil)
	}
	g.Reform()
	require.Empty(t, c.Next(reportsOf(g, -1), &experts.Map{}, 8))
	require.Equal(t, switchover.Idle, c.Phase())
}

// interruptedSwitch returns a group whose holder, on the machine of rank 0, died
// after it gave some orders of a switch.
func interruptedSwitch(t *testing.T, orders int) *platformtest.Group {
	t.Helper()
	g := platformtest.NewGroup(ranks, 1, 8)
	first := newCoordinator(0)
	first.Next(reportsOf(g, -1), &experts.Map{}, 7)
	require.True(t, first.Submit(7, &experts.Map{}))
	given := 0
	for range 40 {
		for _, o := range first.Next(reportsOf(g, -1), &experts.Map{}, 8) {
			if given++; given > orders {
				break
			}
			if g.Order(o, 1, nil) < 300 {
				first.Accepted(o)
			}
		}
		g.Tick()
	}
	return g
}

// Guards against a group that stays held after its holder died, at each order of
// a switch.
func TestNextHolderFinishes(t *testing.T) {
	for died := range 12 {
		g := interruptedSwitch(t, died)
		second := newCoordinator(2)
		drive(t, g, second, 2, 1_000_000)
		require.True(t, g.Tick(), "held after %d orders", died)
		require.Empty(t, g.Violations(), "after %d orders", died)
	}
}

// Guards against a group that stays held while the machine of its holder is
// frozen: the other agents undo the switch, unless the holder's rank may be armed.
func TestUndoWithoutHoldersRank(t *testing.T) {
	for died := range 12 {
		g := interruptedSwitch(t, died)
		othersArmed := 0
		for _, r := range reportsOf(g, 0) {
			if r.Armed != nil {
				othersArmed++
			}
		}
		other := newCoordinator(2)
		for range 5 {
			for _, o := range other.Undo(reportsOf(g, 0)) {
				g.Order(o, 1, nil)
			}
		}
		require.Equal(t, othersArmed < ranks-1, g.Tick(), "after %d orders with %d armed", died, othersArmed)
		for range 5 {
			g.Tick()
		}
		require.Empty(t, g.Violations(), "after %d orders", died)
	}
}

// late is an order that is carried out after its answer was given up.
type late struct {
	order switchover.Order
	fence int64
	at    int
}

// world drives several holders at once against a group whose orders get lost, are
// carried out late, or are given by a holder that acts on old reports.
type world struct {
	rng     *rand.Rand
	group   *platformtest.Group
	holders []*holder
	late    []late
	now     int
	version int64
}

type holder struct {
	coordinator *switchover.Coordinator
	fence       int64
	frozenTill  int
	// stale are reports that a frozen holder acts on when it wakes.
	stale []switchover.Report
}

func newWorld(seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), group: platformtest.NewGroup(ranks, 1, 8)}
	w.group.CopyTicks = 1 + w.rng.IntN(6)
	w.group.IgnoresFences = w.rng.IntN(2) == 0
	w.elect()
	return w
}

func (w *world) elect() {
	own := w.rng.IntN(ranks)
	w.holders = append(w.holders, &holder{coordinator: newCoordinator(own), fence: int64(len(w.holders) + 1)})
}

// round lets each holder that runs act once, and time pass.
func (w *world) round(faults bool) {
	w.now++
	if faults && w.rng.IntN(60) == 0 {
		w.elect()
	}
	if faults && w.rng.IntN(400) == 0 {
		w.group.Reform()
	}
	// Only the newest holder and the one before it are still running.
	for _, h := range w.holders[max(len(w.holders)-2, 0):] {
		w.act(h, faults)
	}
	w.carryOutLate()
	if w.rng.IntN(3) > 0 {
		w.group.Tick()
	}
}

func (w *world) act(h *holder, faults bool) {
	if w.now < h.frozenTill {
		return
	}
	reports := h.stale
	h.stale = nil
	if reports == nil {
		reports = w.read()
	}
	if faults && w.rng.IntN(40) == 0 {
		h.frozenTill, h.stale = w.now+w.rng.IntN(30), reports
		return
	}
	w.version++
	orders := h.coordinator.Next(reports, &experts.Map{}, w.version)
	if h.coordinator.Phase() == switchover.Idle && w.rng.IntN(4) == 0 {
		w.version++
		h.coordinator.Submit(w.version, &experts.Map{})
	}
	for _, o := range orders {
		w.give(h, o, faults)
	}
}

// read reads the ranks one after the other, while the group goes on.
func (w *world) read() []switchover.Report {
	var reports []switchover.Report
	for r := range ranks {
		reports = append(reports, w.group.Report(r))
		if w.rng.IntN(6) == 0 {
			w.group.Tick()
		}
	}
	return reports
}

func (w *world) give(h *holder, o switchover.Order, faults bool) {
	if faults {
		switch w.rng.IntN(8) {
		case 0:
			return // lost
		case 1:
			w.late = append(w.late, late{order: o, fence: h.fence, at: w.now + 1 + w.rng.IntN(40)})
			return
		}
	}
	if w.group.Order(o, h.fence, nil) < 300 {
		h.coordinator.Accepted(o)
	}
}

func (w *world) carryOutLate() {
	var waiting []late
	for _, l := range w.late {
		if w.now < l.at {
			waiting = append(waiting, l)
			continue
		}
		w.group.Order(l.order, l.fence, nil)
	}
	w.late = waiting
}

// Guards against a step on two maps, and against a group that stays held, under
// lost and late orders, holders that pause and act on old reports, two holders at
// a time, and groups that form anew.
func TestOneMapInEveryStep(t *testing.T) {
	for _, seed := range seeds.Of(t, 300) {
		w := newWorld(seed)
		for range 600 {
			w.round(true)
		}
		require.Empty(t, w.group.Violations(), seeds.Replay(t, "rankgroup/switchover", seed))
		began := w.group.Report(0).Step
		for range 300 {
			w.round(false)
		}
		require.Greater(t, w.group.Report(0).Step, began+20, seeds.Replay(t, "rankgroup/switchover", seed))
		require.Empty(t, w.group.Violations(), seeds.Replay(t, "rankgroup/switchover", seed))
	}
}
