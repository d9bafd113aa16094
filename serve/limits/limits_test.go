package limits_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/serve/limits"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	limit = limits.Amount{Requests: 60, Tokens: 30000, InFlight: 90}
)

const (
	cost   = 800.0
	tick   = 20 * time.Millisecond
	ticks  = 20 * 50
	window = 5 * time.Second
)

// cluster simulates n entries with demand that moves between them and reports
// that are lost or late.
type cluster struct {
	rng       *rand.Rand
	entries   []*limits.Limiter
	names     []string
	lossRate  float64
	inTransit []reportInTransit
	demand    []float64
}

type reportInTransit struct {
	deliverAt time.Time
	to        int
	report    limits.Report
}

func newCluster(seed uint64, n int, loss float64, config limits.Config) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(seed, 1)), lossRate: loss, demand: make([]float64, n)}
	for i := range n {
		c.names = append(c.names, fmt.Sprintf("entry-%02d", i))
		e := limits.New(config, c.names[i])
		e.SetLiveEntries(start, n)
		e.SetLimit(start, "mill", limit)
		c.entries = append(c.entries, e)
	}
	return c
}

// step advances the simulation to now and returns the number of requests
// admitted.
func (c *cluster) step(now time.Time) float64 {
	for i, e := range c.entries {
		if c.rng.Float64() < 0.01 {
			c.demand[i] = []float64{0, 0, 0, 20, 400}[c.rng.IntN(5)]
		}
		if c.rng.Float64() < tick.Seconds() {
			c.report(now, e)
		}
	}
	c.deliver(now)
	admitted := 0.0
	for i, e := range c.entries {
		for due := c.demand[i] * tick.Seconds(); due > c.rng.Float64(); due-- {
			if e.Admit(now, "mill", cost) == nil {
				admitted++
				e.Release(now, "mill", 0)
			}
		}
	}
	return admitted
}

func (c *cluster) report(now time.Time, e *limits.Limiter) {
	reports := e.NextReports(now, c.peers(e))
	for to, name := range c.names {
		r, ok := reports[name]
		if !ok || c.rng.Float64() < c.lossRate {
			continue
		}
		delay := time.Duration(c.rng.Float64() * float64(100*time.Millisecond))
		if c.rng.Float64() < 0.1 {
			delay *= 30
		}
		c.inTransit = append(c.inTransit, reportInTransit{now.Add(delay), to, r})
	}
}

func (c *cluster) peers(self *limits.Limiter) []string {
	var peers []string
	for i, e := range c.entries {
		if e != self {
			peers = append(peers, c.names[i])
		}
	}
	return peers
}

func (c *cluster) deliver(now time.Time) {
	kept := c.inTransit[:0]
	for _, r := range c.inTransit {
		if r.deliverAt.After(now) {
			kept = append(kept, r)
			continue
		}
		c.entries[r.to].Receive(now, r.report)
	}
	c.inTransit = kept
}

// admissionBound returns the bound of the package comment for one window, in
// requests.
func admissionBound(n int) float64 {
	seconds := window.Seconds() + limits.DefaultConfig().BurstDuration.Seconds()
	byRequests := limit.Requests*seconds + float64(n)
	byTokens := (limit.Tokens*seconds + float64(n)*cost) / cost
	return min(byRequests, byTokens)
}

// Guards against entries that together admit more than the limit while demand
// moves between them and reports are lost or late.
func TestOverAdmissionBound(t *testing.T) {
	for _, n := range []int{3, 30} {
		for _, loss := range []float64{0, 0.5, 0.9, 1} {
			for seed := range uint64(2) {
				t.Run(fmt.Sprintf("n=%d/loss=%v/seed=%d", n, loss, seed), func(t *testing.T) {
					c := newCluster(seed, n, loss, limits.DefaultConfig())
					var sums []float64
					sum, worst := 0.0, 0.0
					windowTicks := int(window / tick)
					for k := range ticks {
						now := start.Add(time.Duration(k+1) * tick)
						sums = append(sums, c.step(now))
						sum += sums[k]
						if k >= windowTicks {
							sum -= sums[k-windowTicks]
						}
						worst = max(worst, sum)
						total := 0.0
						for _, e := range c.entries {
							total += e.Share(now, "mill").Requests
						}
						require.LessOrEqual(t, total, limit.Requests*1.000001, "sum of shares")
					}
					require.LessOrEqual(t, worst, admissionBound(n))
				})
			}
		}
	}
}

// Guards against an entry that keeps its part of a limit while all demand is at
// another entry, and against a share that stays increased without reports.
func TestShareFollowsDemandAndFallsBack(t *testing.T) {
	c := newCluster(1, 3, 0, limits.DefaultConfig())
	now := start
	for k := range 10 * 50 {
		now = now.Add(tick)
		for range 4 {
			_ = c.entries[0].Admit(now, "mill", cost)
			c.entries[0].Release(now, "mill", 0)
		}
		if k%50 != 0 {
			continue
		}
		for _, e := range c.entries {
			for to, name := range c.names {
				if r, ok := e.NextReports(now, c.peers(e))[name]; ok {
					c.entries[to].Receive(now, r)
				}
			}
		}
	}
	require.Greater(t, c.entries[0].Share(now, "mill").Tokens, 0.9*limit.Tokens)
	now = now.Add(limits.DefaultConfig().GrantDuration)
	for _, e := range c.entries {
		require.InDelta(t, limit.Tokens/3, e.Share(now, "mill").Tokens, 1e-6)
	}
}

// Guards against refused or finished requests that still count as in flight.
func TestInFlightLimit(t *testing.T) {
	l := limits.New(limits.DefaultConfig(), "entry")
	l.SetLimit(start, "mill", limits.Amount{InFlight: 2})
	require.NoError(t, l.Admit(start, "mill", 1))
	require.NoError(t, l.Admit(start, "mill", 1))
	require.Error(t, l.Admit(start, "mill", 1))
	l.Release(start, "mill", 0)
	require.NoError(t, l.Admit(start, "mill", 1))
	require.NoError(t, l.Admit(start, "other", 1))
}

// Guards against a grant that is used after its sender took its part back,
// because the report was delayed for longer than the grant is valid.
func TestLateGrantIsNotUsed(t *testing.T) {
	c := newCluster(1, 2, 0, limits.DefaultConfig())
	sender, receiver := c.entries[0], c.entries[1]
	for range 300 {
		_ = receiver.Admit(start.Add(time.Second), "mill", cost)
	}
	sender.Receive(start.Add(time.Second), receiver.NextReports(start.Add(time.Second), c.names[:1])[c.names[0]])
	granted := sender.NextReports(start.Add(2*time.Second), c.names[1:])[c.names[1]]
	require.Less(t, sender.Share(start.Add(2*time.Second), "mill").Tokens, limit.Tokens/2)
	expired := start.Add(2*time.Second + limits.DefaultConfig().GrantDuration)
	require.InDelta(t, limit.Tokens/2, sender.Share(expired, "mill").Tokens, 1e-6)
	receiver.Receive(expired, granted)
	require.InDelta(t, limit.Tokens/2, receiver.Share(expired, "mill").Tokens, 1e-6)
}

// Guards against an entry that refuses its first requests after a start and
// against one that starts with a full burst.
func TestStartAdmitsFewRequests(t *testing.T) {
	for _, c := range []struct{ limit, admitted int }{{2, 1}, {400, 20}} {
		l := limits.New(limits.DefaultConfig(), "e")
		l.SetLiveEntries(start, 2)
		l.SetLimit(start, "org", limits.Amount{Requests: float64(c.limit)})
		admitted := 0
		for l.Admit(start, "org", 1) == nil {
			admitted++
		}
		require.InDelta(t, c.admitted, admitted, 1, "limit %d", c.limit)
	}
}
