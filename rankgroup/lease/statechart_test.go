package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/chart"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/internal/charttest"
)

// scenario drives one Candidate and records the first failed expectation.
type scenario struct {
	candidate *Candidate
	now       time.Time
	err       error
	visited   map[State]bool
}

func newScenario(c *chart.Chart, visited map[State]bool) *scenario {
	s := &scenario{now: time.UnixMilli(1_800_000_000_000), visited: visited}
	s.candidate = NewCandidate(DefaultSettings(), "lease", "me", rand.New(rand.NewPCG(1, 1)), s.now)
	s.candidate.machine = c.NewMachine()
	return s
}

func (s *scenario) expect(ok bool, format string, args ...any) {
	s.visited[s.candidate.State()] = true
	if !ok && s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

// expectSend requires that a record with the given operation is due, or none
// for "".
func (s *scenario) expectSend(op Op) Record {
	r, due := s.candidate.Tick(s.now)
	s.expect(due == (op != "") && r.Op == op, "tick: got %q, want %q", r.Op, op)
	return r
}

func (s *scenario) wait(d time.Duration) { s.now = s.now.Add(d) }

// waitUntilClaimable waits until a term of another holder must have expired.
func (s *scenario) waitUntilClaimable() {
	s.wait(s.candidate.settings.TTL + s.candidate.settings.SafetyMargin)
}

func (s *scenario) expectToken(token infra.Offset) {
	got, ok := s.candidate.Token(s.now)
	s.expect(ok == (token != 0) && (token == 0 || got == token), "token %d, %t; want %d", got, ok, token)
}

func (s *scenario) observeTerm(holder string, token infra.Offset, nonce uint64, released bool) {
	s.candidate.ObserveTerm(s.now, Term{LeaseName: "lease", Holder: holder, Token: token, Nonce: nonce, Released: released})
}

// winLease claims the lease and reads the claim back with the given token.
func (s *scenario) winLease(token infra.Offset) {
	s.waitUntilClaimable()
	claim := s.expectSend(OpClaim)
	s.expectToken(0) // not read back
	s.observeTerm("me", token, claim.Nonce, false)
	s.expectToken(token)
}

func renewAndExpire(s *scenario) {
	s.expectSend("") // the lease may have a holder
	s.winLease(5)
	s.expectSend("") // no renewal yet
	s.wait(s.candidate.settings.RenewInterval)
	renewal := s.expectSend(OpRenew)
	s.expect(renewal.Token == 5, "renewal with token %d", renewal.Token)
	s.wait(time.Second)
	s.observeTerm("me", 5, renewal.Nonce, false)
	s.expect(s.candidate.NextTick().Sub(s.now) == s.candidate.settings.RenewInterval-time.Second, "the renewal changed the time of the next send")
	s.candidate.ObserveCaughtUp(s.now)
	s.wait(s.candidate.settings.TTL - s.candidate.settings.SafetyMargin - 2*time.Second)
	s.expectToken(5) // the renewal counts
	s.wait(time.Second)
	s.expectToken(0)
	s.expectSend(OpRenew) // the record may still renew the term
	s.wait(2 * s.candidate.settings.TTL)
	s.candidate.ObserveCaughtUp(s.now)
	s.expect(s.candidate.State() == Following, "an expired term is kept: %s", s.candidate.State())
	s.expectSend(OpClaim)
	s.expectSend("")
	s.wait(2 * s.candidate.settings.RenewInterval)
	s.expectSend(OpClaim) // the first claim may be lost
}

// newTerm reads back a new term of the same process without the end of the
// previous one.
func newTerm(s *scenario) {
	s.winLease(5)
	s.wait(time.Second)
	s.observeTerm("me", 9, 99, false)
	s.expectToken(9)
	s.expect(s.candidate.NextTick().Sub(s.now) == s.candidate.settings.RenewInterval, "a new token did not restart the renewal interval")
}

// lateClaim reads back the claim in state Following, after a term of another
// holder.
func lateClaim(s *scenario) {
	s.waitUntilClaimable()
	claim := s.expectSend(OpClaim)
	s.observeTerm("other", 4, 1, false)
	s.expect(s.candidate.State() == Following, "another holder is not followed: %s", s.candidate.State())
	s.wait(2 * s.candidate.settings.SafetyMargin)
	s.expectSend("")
	s.observeTerm("me", 5, claim.Nonce, false)
	s.expectToken(5)
}

// yieldFrom gives way to another holder and waits to claim the lease after its
// release, starting from the state that prepare reaches.
func yieldFrom(prepare func(*scenario)) func(*scenario) {
	return func(s *scenario) {
		prepare(s)
		s.observeTerm("other", 8, 1, false)
		s.expectToken(0)
		s.expect(s.candidate.State() == Following, "another holder is not followed: %s", s.candidate.State())
		s.wait(s.candidate.settings.TTL - time.Second)
		s.expectSend("")
		s.observeTerm("other", 8, 1, false)
		prepare(s)
		s.observeTerm("other", 8, 2, true)
		s.expectToken(0)
		s.wait(s.candidate.settings.SafetyMargin)
		s.expect(!s.candidate.claimableAt.After(s.now), "a released lease is not claimable")
		s.expect(s.candidate.State() == Following, "another holder is not followed: %s", s.candidate.State())
	}
}

// leaveFrom sends a release only if the lease is held, and no record after it.
func leaveFrom(prepare func(*scenario), op Op, readEnd func(*scenario)) func(*scenario) {
	return func(s *scenario) {
		prepare(s)
		r, held := s.candidate.Leave(s.now)
		s.expect(held == (op != "") && r.Op == op, "leave: got %q, want %q", r.Op, op)
		s.expectToken(0)
		s.waitUntilClaimable()
		s.expectSend("")
		_, again := s.candidate.Leave(s.now)
		s.expect(!again, "released twice")
		readEnd(s)
		s.expect(s.candidate.State() == Left, "has not left: %s", s.candidate.State())
		s.expectSend("")
	}
}

func following(s *scenario) {
	s.wait(s.candidate.settings.TTL / 3)
	s.expectSend("")
}

func campaigning(s *scenario) {
	s.waitUntilClaimable()
	s.expectSend(OpClaim)
}

func holding(s *scenario) { s.winLease(5) }

// readTermEnd reads the end of a term from the log.
func readTermEnd(holder string, token infra.Offset, released bool) func(*scenario) {
	return func(s *scenario) { s.observeTerm(holder, token, 90, released) }
}

func ownReleaseRead(s *scenario) {
	s.winLease(5)
	s.observeTerm("me", 5, 90, true)
	s.expectToken(0)
	s.expect(s.candidate.State() == Following, "a released term is kept: %s", s.candidate.State())
	s.winLease(7)
}

func otherReleaseRead(s *scenario) {
	following(s)
	s.observeTerm("other", 8, 2, true)
	s.wait(s.candidate.settings.SafetyMargin)
	s.expectSend(OpClaim)
}

// Guards against a candidate that acts before its claim was read back, that
// keeps the lease next to another holder or after its own release, or that
// claims too early, too often or never. The scenarios fail on the chart without
// any one of its transitions or guards.
func TestCandidateChart(t *testing.T) {
	nothing := func(*scenario) {}
	scenarios := []func(*scenario){
		renewAndExpire, newTerm, lateClaim, ownReleaseRead, otherReleaseRead,
		yieldFrom(following), yieldFrom(campaigning), yieldFrom(holding),
		leaveFrom(following, "", nothing), leaveFrom(campaigning, "", nothing),
		leaveFrom(holding, OpRelease, readTermEnd("me", 5, true)),
		leaveFrom(holding, OpRelease, readTermEnd("other", 8, false)),
		leaveFrom(holding, OpRelease, readTermEnd("other", 8, true)),
	}
	runAll := func(c *chart.Chart, visited map[State]bool) error {
		for i, run := range scenarios {
			s := newScenario(c, visited)
			run(s)
			if s.err != nil {
				return fmt.Errorf("scenario %d: %w", i+1, s.err)
			}
		}
		return nil
	}
	visited := make(map[State]bool)
	require.NoError(t, runAll(candidateChart, visited))
	for state := range candidateChart.Definition().States {
		require.True(t, visited[State(state)], state)
	}
	charttest.RequireAllMutantsDetected(t, candidateChart, vocabulary, func(c *chart.Chart) error {
		return runAll(c, make(map[State]bool))
	})
}
