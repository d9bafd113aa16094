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

// script drives one Holder and collects the first difference from what is
// wanted.
type script struct {
	holder  *Candidate
	now     time.Time
	err     error
	visited map[State]bool
}

func newScript(c *chart.Chart, visited map[State]bool) *script {
	s := &script{now: time.UnixMilli(1_800_000_000_000), visited: visited}
	s.holder = NewCandidate(DefaultSettings(), "duty", "me", rand.New(rand.NewPCG(1, 1)), s.now)
	s.holder.machine = c.NewMachine()
	return s
}

func (s *script) want(ok bool, format string, args ...any) {
	s.visited[s.holder.State()] = true
	if !ok && s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

// sends requires the operation of the record that is due, "" for none.
func (s *script) sends(op Op) Record {
	r, due := s.holder.Tick(s.now)
	s.want(due == (op != "") && r.Op == op, "tick: got %q, want %q", r.Op, op)
	return r
}

func (s *script) wait(d time.Duration) { s.now = s.now.Add(d) }

// waitFree waits until the tenure of another holder has expired for certain.
func (s *script) waitFree() {
	s.wait(s.holder.settings.TTL + s.holder.settings.SafetyMargin)
}

func (s *script) holds(token infra.Offset) {
	got, ok := s.holder.Token(s.now)
	s.want(ok == (token != 0) && (token == 0 || got == token), "token %d, %t; want %d", got, ok, token)
}

func (s *script) folded(holder string, token infra.Offset, nonce uint64, released bool) {
	s.holder.ObserveTerm(s.now, Term{LeaseName: "duty", Holder: holder, Token: token, Nonce: nonce, Released: released})
}

// win claims the duty and reads the claim back with the token.
func (s *script) win(token infra.Offset) {
	s.waitFree()
	claim := s.sends(OpClaim)
	s.holds(0) // not read back
	s.folded("me", token, claim.Nonce, false)
	s.holds(token)
}

func renewAndExpire(s *script) {
	s.sends("") // the duty may have a holder
	s.win(5)
	s.sends("") // no renewal yet
	s.wait(s.holder.settings.RenewInterval)
	renewal := s.sends(OpRenew)
	s.want(renewal.Token == 5, "renewal with token %d", renewal.Token)
	s.wait(time.Second)
	s.folded("me", 5, renewal.Nonce, false)
	s.want(s.holder.NextTick().Sub(s.now) == s.holder.settings.RenewInterval-time.Second, "the renewal restarted the pace")
	s.holder.ObserveCaughtUp(s.now)
	s.wait(s.holder.settings.TTL - s.holder.settings.SafetyMargin - 2*time.Second)
	s.holds(5) // the renewal counts
	s.wait(time.Second)
	s.holds(0)
	s.sends(OpRenew) // the record may still extend the tenure
	s.wait(2 * s.holder.settings.TTL)
	s.holder.ObserveCaughtUp(s.now)
	s.want(s.holder.State() == Following, "an expired tenure is kept: %s", s.holder.State())
	s.sends(OpClaim)
	s.sends("")
	s.wait(2 * s.holder.settings.RenewInterval)
	s.sends(OpClaim) // the first may be lost
}

// newTenure is a tenure of one's own that the holder did not see end.
func newTenure(s *script) {
	s.win(5)
	s.wait(time.Second)
	s.folded("me", 9, 99, false)
	s.holds(9)
	s.want(s.holder.NextTick().Sub(s.now) == s.holder.settings.RenewInterval, "a new token did not restart the pace")
}

// lateClaim is read back in following, after another holder's tenure.
func lateClaim(s *script) {
	s.waitFree()
	claim := s.sends(OpClaim)
	s.folded("other", 4, 1, false)
	s.want(s.holder.State() == Following, "another holder is not followed: %s", s.holder.State())
	s.wait(2 * s.holder.settings.SafetyMargin)
	s.sends("")
	s.folded("me", 5, claim.Nonce, false)
	s.holds(5)
}

// yield gives way to a holder or takes the duty after its release, from a
// state that prepare brings about.
func yield(prepare func(*script)) func(*script) {
	return func(s *script) {
		prepare(s)
		s.folded("other", 8, 1, false)
		s.holds(0)
		s.want(s.holder.State() == Following, "another holder is not followed: %s", s.holder.State())
		s.wait(s.holder.settings.TTL - time.Second)
		s.sends("")
		s.folded("other", 8, 1, false)
		prepare(s)
		s.folded("other", 8, 2, true)
		s.holds(0)
		s.wait(s.holder.settings.SafetyMargin)
		s.want(!s.holder.freeAt.After(s.now), "a released duty is not free")
		s.want(s.holder.State() == Following, "another holder is not followed: %s", s.holder.State())
	}
}

// leave sends a release only if the duty is held, and no record after it.
func leave(prepare func(*script), op Op, end func(*script)) func(*script) {
	return func(s *script) {
		prepare(s)
		r, held := s.holder.Leave(s.now)
		s.want(held == (op != "") && r.Op == op, "leave: got %q, want %q", r.Op, op)
		s.holds(0)
		s.waitFree()
		s.sends("")
		_, again := s.holder.Leave(s.now)
		s.want(!again, "released twice")
		end(s)
		s.want(s.holder.State() == Left, "has not left: %s", s.holder.State())
		s.sends("")
	}
}

func following(s *script) {
	s.wait(s.holder.settings.TTL / 3)
	s.sends("")
}

func campaigning(s *script) {
	s.waitFree()
	s.sends(OpClaim)
}

func holding(s *script) { s.win(5) }

// foldedEnd is the end of a tenure as read from the log.
func foldedEnd(holder string, token infra.Offset, released bool) func(*script) {
	return func(s *script) { s.folded(holder, token, 90, released) }
}

func ended(s *script) {
	s.win(5)
	s.folded("me", 5, 90, true)
	s.holds(0)
	s.want(s.holder.State() == Following, "a released tenure is kept: %s", s.holder.State())
	s.win(7)
}

func released(s *script) {
	following(s)
	s.folded("other", 8, 2, true)
	s.wait(s.holder.settings.SafetyMargin)
	s.sends(OpClaim)
}

// Guards against a candidate that acts before its claim was read back, that
// holds on beside another holder or after its release, or that claims too
// early, too often or never. Removing any transition or dropping any guard of
// the chart fails here.
func TestCandidacy(t *testing.T) {
	nothing := func(*script) {}
	scripts := []func(*script){
		renewAndExpire, newTenure, lateClaim, ended, released,
		yield(following), yield(campaigning), yield(holding),
		leave(following, "", nothing), leave(campaigning, "", nothing),
		leave(holding, OpRelease, foldedEnd("me", 5, true)),
		leave(holding, OpRelease, foldedEnd("other", 8, false)),
		leave(holding, OpRelease, foldedEnd("other", 8, true)),
	}
	behaviour := func(c *chart.Chart, visited map[State]bool) error {
		for i, run := range scripts {
			s := newScript(c, visited)
			run(s)
			if s.err != nil {
				return fmt.Errorf("script %d: %w", i+1, s.err)
			}
		}
		return nil
	}
	visited := make(map[State]bool)
	require.NoError(t, behaviour(candidacyChart, visited))
	for state := range candidacyChart.Definition().States {
		require.True(t, visited[State(state)], state)
	}
	charttest.RequireAllMutantsDetected(t, candidacyChart, vocabulary, func(c *chart.Chart) error {
		return behaviour(c, make(map[State]bool))
	})
}
