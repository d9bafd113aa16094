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

// disabledRule is a safety rule that a run of the model leaves out.
type disabledRule string

const (
	none             disabledRule = ""
	tokenChecks      disabledRule = "sidecars check tokens"
	readBeforeCheck  disabledRule = "a restarted sidecar reads the current token first"
	stopBeforeExpiry disabledRule = "a holder stops before expiry by its own clock"
)

const leaseName = "group-1"

// model simulates candidates and backend servers that share a log, in ticks of
// 100 ms. Backend servers ignore tokens, so that only their TokenChecker
// protects them.
type model struct {
	rng            *rand.Rand
	disabled       disabledRule
	settings       lease.Settings
	now            time.Time
	records        []infra.Record
	delayed        []delayedCall
	trimmed        int
	outageUntil    time.Time
	candidates     []*simCandidate
	backends       []*simBackend
	violations     []string
	passedCommands int
	tokensHeld     map[infra.Offset]bool
}

type delayedCall struct {
	at time.Time
	do func()
}

type simCandidate struct {
	projection  *lease.Projection
	candidate   *lease.Candidate
	pausedUntil time.Time
	// staleToken is the token read before a pause and used after it.
	staleToken infra.Offset
}

type simBackend struct {
	projection   *lease.Projection
	checker      *lease.TokenChecker
	highestToken infra.Offset // of commands that reached the backend server
}

func newModel(seed uint64, disabled disabledRule) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(seed, 2)), disabled: disabled, settings: lease.DefaultSettings(),
		now: time.UnixMilli(1_800_000_000_000), tokensHeld: make(map[infra.Offset]bool),
	}
	for range 3 {
		m.candidates = append(m.candidates, m.newCandidate())
		m.backends = append(m.backends, &simBackend{})
	}
	for _, b := range m.backends {
		m.restartChecker(b)
	}
	return m
}

func (m *model) chance(p float64) bool { return m.rng.Float64() < p }

func (m *model) randomDuration(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d)))
}

func (m *model) newCandidate() *simCandidate {
	name := fmt.Sprintf("h%d", m.rng.Uint64())
	return &simCandidate{
		projection: lease.NewProjection(m.settings),
		candidate:  lease.NewCandidate(m.settings, leaseName, name, m.rng, m.now),
	}
}

func (m *model) restartChecker(b *simBackend) {
	b.projection = lease.NewProjection(m.settings)
	b.checker = lease.NewTokenChecker(m.settings, b.projection, m.now)
	if m.disabled == readBeforeCheck {
		b.checker.ConfirmRead(m.now)
	}
}

func (m *model) after(d time.Duration, do func()) {
	m.delayed = append(m.delayed, delayedCall{at: m.now.Add(d), do: do})
}

func (m *model) run(steps int) {
	for range steps {
		m.now = m.now.Add(100 * time.Millisecond)
		m.runDelayed()
		if m.chance(0.0003) {
			m.outageUntil = m.now.Add(m.randomDuration(2 * time.Minute))
		}
		if n := len(m.records) - 400; n > m.trimmed {
			m.trimmed = n
		}
		for i, c := range m.candidates {
			m.stepCandidate(i, c)
		}
		for _, b := range m.backends {
			if m.chance(0.005) {
				m.restartChecker(b)
			}
			if m.chance(0.5) {
				m.read(b.projection, func() { b.checker.ConfirmRead(m.now) }, nil)
			}
		}
		m.checkExclusive()
	}
}

func (m *model) runDelayed() {
	due := m.delayed
	m.delayed = nil
	for _, d := range due {
		if d.at.After(m.now) {
			m.delayed = append(m.delayed, d)
		} else {
			d.do()
		}
	}
}

// read applies the next part of the stream. It calls confirmed if that reaches
// the end of the stream.
func (m *model) read(p *lease.Projection, confirmed func(), each func(lease.Term)) {
	if m.now.Before(m.outageUntil) {
		return
	}
	p.MarkTrimmed(infra.Offset(m.trimmed + 1))
	rest := m.records[min(int(p.Offset()), len(m.records)):]
	part := rest[:min(len(rest), 1+m.rng.IntN(100))]
	for _, r := range part {
		if t, ok := p.Apply(r); ok && each != nil {
			each(t)
		}
	}
	if len(part) == len(rest) {
		confirmed()
	}
}

func (m *model) stepCandidate(i int, c *simCandidate) {
	if m.now.Before(c.pausedUntil) {
		return
	}
	if c.staleToken != 0 { // acts late: the token was checked before the pause
		m.sendCommand(c.staleToken)
		c.staleToken = 0
	}
	switch {
	case m.chance(0.0005):
		m.candidates[i] = m.newCandidate()
		return
	case m.chance(0.002):
		c.staleToken, _ = c.candidate.Token(m.now)
		c.pausedUntil = m.now.Add(m.randomDuration(2 * time.Minute))
		return
	case m.chance(0.0006):
		if r, held := c.candidate.Leave(m.now); held {
			m.append(c, r)
		}
		m.candidates[i] = m.newCandidate()
		return
	}
	m.read(c.projection, func() { c.candidate.ObserveCaughtUp(m.now) }, func(t lease.Term) {
		if t.LeaseName == leaseName {
			c.candidate.ObserveTerm(m.now, t)
		}
	})
	if r, ok := c.candidate.Tick(m.now); ok {
		m.append(c, r)
	}
	if token, ok := c.candidate.Token(m.now); ok && m.chance(0.2) {
		m.tokensHeld[token] = true
		m.sendCommand(token)
	}
}

// sendCommand sends a command to each backend server. Some commands are delayed
// by up to a minute.
func (m *model) sendCommand(token infra.Offset) {
	for _, b := range m.backends {
		delay := m.randomDuration(200 * time.Millisecond)
		if m.chance(0.05) {
			delay = m.randomDuration(time.Minute)
		}
		m.after(delay, func() { m.deliver(b, token) })
	}
}

func (m *model) deliver(b *simBackend, token infra.Offset) {
	if m.disabled != tokenChecks && b.checker.Check(m.now, leaseName, token) != nil {
		return
	}
	m.passedCommands++
	if token < b.highestToken {
		m.violations = append(m.violations, fmt.Sprintf("token %d after %d", token, b.highestToken))
	}
	b.highestToken = max(b.highestToken, token)
}

func (m *model) append(c *simCandidate, r lease.Record) {
	data, _ := lease.Encode(r)
	appendRecord := func() {
		m.records = append(m.records, infra.Record{Offset: infra.Offset(len(m.records) + 1), Time: m.now, Data: data})
	}
	switch {
	case m.now.Before(m.outageUntil), m.chance(0.05):
	case m.chance(0.1):
		c.candidate.AppendRateLimited(r.Nonce, m.now, 0)
	case m.chance(0.11):
		m.after(m.randomDuration(40*time.Second), appendRecord)
	default:
		m.after(m.randomDuration(300*time.Millisecond), appendRecord)
	}
}

// checkExclusive records a violation if more than one candidate may act as
// holder by its own clock.
func (m *model) checkExclusive() {
	holding := 0
	for _, c := range m.candidates {
		if _, ok := c.candidate.Token(m.candidateTime()); ok {
			holding++
		}
	}
	if holding > 1 {
		m.violations = append(m.violations, fmt.Sprintf("%d holders at %s", holding, m.now))
	}
}

// candidateTime returns the time at which candidates check their token. With
// stopBeforeExpiry disabled it lags by one TTL, so that holders act too long.
func (m *model) candidateTime() time.Time {
	if m.disabled == stopBeforeExpiry {
		return m.now.Add(-m.settings.TTL)
	}
	return m.now
}

const modelSteps = 10 * 60 * 40 // 40 minutes

// Guards against two holders at the same time by their own clocks, and against
// a late command with an old token that reaches a backend server after a command
// with a newer one.
func TestFencingUnderFaults(t *testing.T) {
	tokensHeld, passedCommands := 0, 0
	for _, seed := range seeds.ForTest(t, 8) {
		m := newModel(seed, none)
		m.run(modelSteps)
		require.Empty(t, m.violations, seeds.ReplayCommand(t, "rankgroup/lease", seed))
		require.Greater(t, len(m.tokensHeld), 1, "seed %d", seed)
		tokensHeld += len(m.tokensHeld)
		passedCommands += m.passedCommands
	}
	t.Logf("%d terms, %d commands passed", tokensHeld, passedCommands)
}

// Guards against a model that cannot detect violations: with a rule disabled it
// must report some.
func TestDisabledRuleIsDetected(t *testing.T) {
	for _, disabled := range []disabledRule{tokenChecks, readBeforeCheck, stopBeforeExpiry} {
		failedSeeds, violations := 0, 0
		list := seeds.ForTest(t, 8)
		for _, seed := range list {
			m := newModel(seed, disabled)
			m.run(modelSteps)
			violations += len(m.violations)
			if len(m.violations) > 0 {
				failedSeeds++
			}
		}
		t.Logf("without %q: %d violations in %d of %d seeds", disabled, violations, failedSeeds, len(list))
		require.Positive(t, failedSeeds, "without %q, first seed %d", disabled, list[0])
	}
}
