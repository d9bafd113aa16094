package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertmux/filbertmux/balance/membership"
	"github.com/filbertmux/filbertmux/base/infra"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const tick = 50 * time.Millisecond

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func liveInstance(id, domain string) infra.Instance {
	return infra.Instance{
		ID: id, Role: infra.RoleBackend, Service: "text-desk", Address: id + ":1",
		FailureDomain: domain, State: infra.StateLive,
	}
}

func leavingInstance(id string) infra.Instance {
	r := liveInstance(id, "a")
	r.State = infra.StateLeaving
	return r
}

func state(v *membership.View, id string) membership.State {
	s, _ := v.Get(id)
	return s.State
}

func oneUsableServer() *membership.View {
	v := membership.New(membership.DefaultConfig())
	v.ApplyList(at(0), []infra.Instance{liveInstance("s1", "a")})
	v.ApplySuccess(at(10), membership.Success{ID: "s1", Incarnation: "i1", SentAt: at(5)})
	return v
}

// Neither the lagging instance list nor a late response may make a withdrawn
// server usable again.
func TestListOnlyWithdrawsServers(t *testing.T) {
	v := oneUsableServer()
	require.Equal(t, membership.Usable, state(v, "s1"))
	v.ApplyList(at(1000), []infra.Instance{leavingInstance("s1")})
	require.Equal(t, membership.Leaving, state(v, "s1"))
	v.ApplyList(at(2000), []infra.Instance{liveInstance("s1", "a")})
	require.Equal(t, membership.Leaving, state(v, "s1"), "the list alone makes no server usable")
	v.ApplySuccess(at(2010), membership.Success{ID: "s1", Incarnation: "i1", SentAt: at(900)})
	require.Equal(t, membership.Leaving, state(v, "s1"), "the call was sent before the withdrawal")
	v.ApplySuccess(at(2020), membership.Success{ID: "s1", Incarnation: "i1", SentAt: at(2015)})
	require.Equal(t, membership.Usable, state(v, "s1"))
	v.ApplyList(at(3000), nil)
	require.Empty(t, v.Candidates("text-desk"))
}

// A server that reported that it is leaving must get no requests again in the same
// incarnation, and late signals of an earlier incarnation must be ignored.
func TestLeavingIsFinalForIncarnation(t *testing.T) {
	v := oneUsableServer()
	v.ApplySuccess(at(100), membership.Success{ID: "s1", Incarnation: "i1", SentAt: at(90), Leaving: true})
	v.ApplySuccess(at(200), membership.Success{ID: "s1", Incarnation: "i1", SentAt: at(190)})
	require.Equal(t, membership.Leaving, state(v, "s1"))
	v.ApplySuccess(at(300), membership.Success{ID: "s1", Incarnation: "i2", SentAt: at(290)})
	require.Equal(t, membership.Usable, state(v, "s1"))
	v.ApplySuccess(at(310), membership.Success{ID: "s1", Incarnation: "i1", SentAt: at(80), Leaving: true})
	require.Equal(t, membership.Usable, state(v, "s1"))
}

// Neither the timeout of an old call nor a late response may override a newer
// signal.
func TestNewerSignalWins(t *testing.T) {
	v := oneUsableServer()
	v.ApplyFailure(at(500), membership.Failure{ID: "s1", SentAt: at(1), Timeout: true})
	require.Equal(t, membership.Usable, state(v, "s1"), "the server responded after the call was sent")
	v.ApplyFailure(at(600), membership.Failure{ID: "s1", SentAt: at(550)})
	require.Equal(t, membership.Suspect, state(v, "s1"))
	require.Equal(t, []string{"s1"}, v.DueProbes(at(600)))
	v.ApplySuccess(at(610), membership.Success{ID: "s1", Incarnation: "i1", SentAt: at(555)})
	require.Equal(t, membership.Suspect, state(v, "s1"), "the call was sent before the failure")
}

func twelveServers(config membership.Config) *membership.View {
	v := membership.New(config)
	var instances []infra.Instance
	for i := range 12 {
		instances = append(instances, liveInstance(fmt.Sprintf("s%02d", i), string(rune('a'+i%3))))
	}
	v.ApplyList(start, instances)
	for _, r := range instances {
		v.ApplySuccess(start, membership.Success{ID: r.ID, Incarnation: "i1", SentAt: start})
	}
	return v
}

// When a failure domain is lost, not every one of its servers may cost a request.
func TestDomainLossSuspectsRemainingServers(t *testing.T) {
	off := membership.DefaultConfig()
	off.DomainFailureThreshold = 0
	for _, c := range []struct {
		config membership.Config
		left   int
	}{{membership.DefaultConfig(), 8}, {off, 10}} {
		v := twelveServers(c.config)
		v.ApplyFailure(at(100), membership.Failure{ID: "s00", SentAt: at(90)})
		require.Len(t, v.Candidates("text-desk"), 11)
		v.ApplyFailure(at(101), membership.Failure{ID: "s03", SentAt: at(90)})
		require.Len(t, v.Candidates("text-desk"), c.left)
		require.Len(t, v.DueProbes(at(101)), 12-c.left, "suspect servers are probed at once")
	}
}

// Dead servers must not keep the healthy servers of their failure domain suspect.
func TestHealthyServersOfDomainRecover(t *testing.T) {
	v := twelveServers(membership.DefaultConfig())
	v.ApplyFailure(at(100), membership.Failure{ID: "s00", SentAt: at(90)})
	v.ApplyFailure(at(101), membership.Failure{ID: "s03", SentAt: at(90)})
	v.DueProbes(at(101))
	for _, id := range []string{"s06", "s09"} {
		v.ApplySuccess(at(110), membership.Success{ID: id, Incarnation: "i1", SentAt: at(101)})
	}
	for ms := 150; ms < 1500; ms += 50 {
		v.DueProbes(at(ms))
		require.Equal(t, membership.Usable, state(v, "s06"))
	}
}

// A server that doesn't respond must get no requests for longer than the bound in
// the package comment, whenever it dies and however often it is called.
func TestSilentServerBound(t *testing.T) {
	config := membership.DefaultConfig()
	bound := config.ResponseTimeout + config.ProbeTimeout + 2*tick
	rapid.Check(t, func(t *rapid.T) {
		v := twelveServers(config)
		silent := fmt.Sprintf("s%02d", rapid.IntRange(0, 11).Draw(t, "silent"))
		died := at(rapid.IntRange(0, 3000).Draw(t, "died_ms"))
		every := rapid.IntRange(1, 20).Draw(t, "ticks_between_calls")
		var first, last time.Time
		for k := range 200 {
			now := start.Add(time.Duration(k) * tick)
			for _, id := range v.DueProbes(now) {
				if id != silent || now.Before(died) {
					v.ApplySuccess(now, membership.Success{ID: id, Incarnation: "i1", SentAt: now})
				}
			}
			if k%every != 0 {
				continue
			}
			for _, s := range v.Candidates("text-desk") {
				v.RecordSent(now, s.ID)
				if s.ID != silent || now.Before(died) {
					v.ApplySuccess(now, membership.Success{ID: s.ID, Incarnation: "i1", SentAt: now})
					continue
				}
				if first.IsZero() {
					first = now
				}
				last = now
			}
		}
		if got := last.Sub(first); got > bound {
			t.Fatalf("requests were sent for %s after the first unanswered call, bound %s", got, bound)
		}
		if state(v, silent) != membership.Dead {
			t.Fatalf("silent server is %s", state(v, silent))
		}
	})
}
