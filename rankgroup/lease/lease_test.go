package lease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/internal/seeds"
	"github.com/filbertmux/filbertmux/rankgroup/lease"
)

// rule names a rule that a run of the model switches off.
type rule string

const (
	none        rule = ""
	guardChecks rule = "guards check tokens"
	guardReads  rule = "a restarted guard reads the current token first"
	holderStops rule = "a holder stops ahead of expiry by its own clock"
)

const duty = "group-1"

// world steps candidates and guards every 100 ms over one log. A backend
// server ignores tokens, so that only its guard protects it.
type world struct {
	rng        *rand.Rand
	off        rule
	settings   lease.Settings
	now        time.Time
	records    []infra.Record
	late       []delayed
	trimmed    int
	outage     time.Time
	holders    []*candidate
	guards     []*backend
	violations []string
	passed     int
	tenures    map[infra.Offset]bool
}

type delayed struct {
	at time.Time
	do func()
}

type candidate struct {
	fold        *lease.Projection
	holder      *lease.Candidate
	pausedUntil time.Time
	// acting is the token of the last question, used after a pause.
	acting infra.Offset
}

type backend struct {
	fold    *lease.Projection
	guard   *lease.TokenChecker
	highest infra.Offset // of commands that reached the backend server
}

func newWorld(seed uint64, off rule) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 2)), off: off, settings: lease.DefaultSettings(),
		now: time.UnixMilli(1_800_000_000_000), tenures: make(map[infra.Offset]bool),
	}
	for range 3 {
		w.holders = append(w.holders, w.newCandidate())
		w.guards = append(w.guards, &backend{})
	}
	for _, b := range w.guards {
		w.restart(b)
	}
	return w
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d))) }

func (w *world) newCandidate() *candidate {
	name := fmt.Sprintf("h%d", w.rng.Uint64())
	return &candidate{
		fold:   lease.NewProjection(w.settings),
		holder: lease.NewCandidate(w.settings, duty, name, w.rng, w.now),
	}
}

func (w *world) restart(b *backend) {
	b.fold = lease.NewProjection(w.settings)
	b.guard = lease.NewTokenChecker(w.settings, b.fold, w.now)
	if w.off == guardReads {
		b.guard.ConfirmRead(w.now)
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.late = append(w.late, delayed{at: w.now.Add(d), do: do})
}

func (w *world) run(steps int) {
	for range steps {
		w.now = w.now.Add(100 * time.Millisecond)
		w.playLate()
		if w.chance(0.0003) {
			w.outage = w.now.Add(w.upTo(2 * time.Minute))
		}
		if n := len(w.records) - 400; n > w.trimmed {
			w.trimmed = n
		}
		for i, c := range w.holders {
			w.stepHolder(i, c)
		}
		for _, b := range w.guards {
			if w.chance(0.005) {
				w.restart(b)
			}
			if w.chance(0.5) {
				w.read(b.fold, func() { b.guard.ConfirmRead(w.now) }, nil)
			}
		}
		w.checkExclusive()
	}
}

func (w *world) playLate() {
	due := w.late
	w.late = nil
	for _, d := range due {
		if d.at.After(w.now) {
			w.late = append(w.late, d)
		} else {
			d.do()
		}
	}
}

// read folds a part of the stream, or all of it and confirms.
func (w *world) read(f *lease.Projection, confirmed func(), each func(lease.Term)) {
	if w.now.Before(w.outage) {
		return
	}
	f.MarkTrimmed(infra.Offset(w.trimmed + 1))
	rest := w.records[min(int(f.Offset()), len(w.records)):]
	part := rest[:min(len(rest), 1+w.rng.IntN(100))]
	for _, r := range part {
		if t, ok := f.Apply(r); ok && each != nil {
			each(t)
		}
	}
	if len(part) == len(rest) {
		confirmed()
	}
}

func (w *world) stepHolder(i int, c *candidate) {
	if w.now.Before(c.pausedUntil) {
		return
	}
	if c.acting != 0 { // acts late: the question was asked ahead of the pause
		w.command(c.acting)
		c.acting = 0
	}
	switch {
	case w.chance(0.0005):
		w.holders[i] = w.newCandidate()
		return
	case w.chance(0.002):
		c.acting, _ = c.holder.Token(w.now)
		c.pausedUntil = w.now.Add(w.upTo(2 * time.Minute))
		return
	case w.chance(0.0006):
		if r, held := c.holder.Leave(w.now); held {
			w.append(c, r)
		}
		w.holders[i] = w.newCandidate()
		return
	}
	w.read(c.fold, func() { c.holder.ObserveCaughtUp(w.now) }, func(t lease.Term) {
		if t.LeaseName == duty {
			c.holder.ObserveTerm(w.now, t)
		}
	})
	if r, ok := c.holder.Tick(w.now); ok {
		w.append(c, r)
	}
	if token, ok := c.holder.Token(w.now); ok && w.chance(0.2) {
		w.tenures[token] = true
		w.command(token)
	}
}

// command sends a command to each guard; some messages arrive much later.
func (w *world) command(token infra.Offset) {
	for _, b := range w.guards {
		delay := w.upTo(200 * time.Millisecond)
		if w.chance(0.05) {
			delay = w.upTo(time.Minute)
		}
		w.after(delay, func() { w.deliver(b, token) })
	}
}

func (w *world) deliver(b *backend, token infra.Offset) {
	if w.off != guardChecks && b.guard.Check(w.now, duty, token) != nil {
		return
	}
	w.passed++
	if token < b.highest {
		w.violations = append(w.violations, fmt.Sprintf("token %d after %d", token, b.highest))
	}
	b.highest = max(b.highest, token)
}

func (w *world) append(c *candidate, r lease.Record) {
	data, _ := lease.Encode(r)
	put := func() {
		w.records = append(w.records, infra.Record{Offset: infra.Offset(len(w.records) + 1), Time: w.now, Data: data})
	}
	switch {
	case w.now.Before(w.outage), w.chance(0.05):
	case w.chance(0.1):
		c.holder.AppendRateLimited(r.Nonce, w.now, 0)
	case w.chance(0.11):
		w.after(w.upTo(40*time.Second), put)
	default:
		w.after(w.upTo(300*time.Millisecond), put)
	}
}

// checkExclusive counts holders that believe to hold the duty. Paused ones
// don't ask.
func (w *world) checkExclusive() {
	holding := 0
	for _, c := range w.holders {
		if _, ok := c.holder.Token(w.believed()); ok {
			holding++
		}
	}
	if holding > 1 {
		w.violations = append(w.violations, fmt.Sprintf("%d holders at %s", holding, w.now))
	}
}

// believed returns the time that a holder asks with. Without its own clock, it
// goes on for longer.
func (w *world) believed() time.Time {
	if w.off == holderStops {
		return w.now.Add(-w.settings.TTL)
	}
	return w.now
}

const steps = 10 * 60 * 40 // 40 minutes

// Guards against two holders at once by their own clocks, and against a late
// command with an old token that reaches a backend server after a newer one.
func TestFencingUnderFaults(t *testing.T) {
	tenures, passed := 0, 0
	for _, seed := range seeds.ForTest(t, 8) {
		w := newWorld(seed, none)
		w.run(steps)
		require.Empty(t, w.violations, seeds.ReplayCommand(t, "rankgroup/lease", seed))
		require.Greater(t, len(w.tenures), 1, "seed %d", seed)
		tenures += len(w.tenures)
		passed += w.passed
	}
	t.Logf("%d tenures, %d commands passed", tenures, passed)
}

// Guards against checks in the model that no fault can trip.
func TestModelFindsViolations(t *testing.T) {
	for _, off := range []rule{guardChecks, guardReads, holderStops} {
		bad, total := 0, 0
		list := seeds.ForTest(t, 8)
		for _, seed := range list {
			w := newWorld(seed, off)
			w.run(steps)
			total += len(w.violations)
			if len(w.violations) > 0 {
				bad++
			}
		}
		t.Logf("without %q: %d violations in %d of %d seeds", off, total, bad, len(list))
		require.Positive(t, bad, "without %q, first seed %d", off, list[0])
	}
}
