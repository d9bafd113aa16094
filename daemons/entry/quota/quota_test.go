package quota

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/examples"
)

const org = "mureseni-desk"

// viewWith returns the demo table with an edited limit of org.
func viewWith(t *testing.T, edit func(*table.CSVRow)) *table.View {
	t.Helper()
	sheet, err := table.LoadDir(examples.Demo())
	require.NoError(t, err)
	for i := range sheet.Rows {
		if l := sheet.Rows[i].Row.Limit; l != nil && l.Organisation == org {
			edit(&sheet.Rows[i])
		}
	}
	f := table.NewState()
	for _, office := range sheet.Offices() {
		data, err := table.Diff(f.View(), sheet, office, "first-"+office).Encode()
		require.NoError(t, err)
		require.Equal(t, table.OutcomeAccepted, f.Apply(infra.Record{Offset: f.Offset() + 1, Data: data}).Outcome)
	}
	return f.View()
}

func limited(requests, tokens float64, inFlight int) func(*table.CSVRow) {
	return func(r *table.CSVRow) {
		r.Row.Limit.RequestsPerSecond, r.Row.Limit.TokensPerSecond, r.Row.Limit.InFlight = requests, tokens, inFlight
	}
}

// cluster is a set of entries under one injected clock.
type cluster struct {
	now     time.Time
	view    *table.View
	live    int
	entries map[string]*Quota
}

func newCluster(view *table.View, names ...string) *cluster {
	c := &cluster{now: time.Unix(1000, 0), view: view, live: len(names), entries: make(map[string]*Quota)}
	for _, name := range names {
		c.entries[name] = c.start(name, "1")
	}
	c.now = c.now.Add(time.Second) // fills the buckets
	return c
}

func (c *cluster) start(name, incarnation string) *Quota {
	return New(Config{
		Instance: name, Incarnation: incarnation,
		View:        func() *table.View { return c.view },
		LiveEntries: func() int { return c.live },
		Now:         func() time.Time { return c.now },
	})
}

// report sends one round of reports of each entry.
func (c *cluster) report() {
	names := slices.Sorted(maps.Keys(c.entries))
	for _, name := range names {
		others := slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })
		reports := c.entries[name].NextReports(others)
		for _, to := range others {
			c.entries[to].Receive(reports[to])
		}
	}
}

// admitted offers 200 requests/s to entry a and returns how many it admits
// within the seconds.
func (c *cluster) admitted(seconds int, reports bool) int {
	total := 0
	for range seconds {
		for range 200 {
			if release, err := c.entries["a"].Admit(org, 1); err == nil {
				total++
				release(true)
			}
			c.now = c.now.Add(5 * time.Millisecond)
		}
		if reports {
			c.report()
		}
	}
	return total
}

// Guards against entries that keep equal parts of a limit although only one of
// them has demand, and against a limit that is exceeded.
func TestReportsMoveTheLimitToTheDemand(t *testing.T) {
	c := newCluster(viewWith(t, limited(40, 0, 0)), "a", "b")
	alone := c.admitted(10, false)
	require.InDelta(t, 20*10, alone, 30, "without reports an entry has its equal part")
	c.admitted(5, true)
	shared := c.admitted(10, true)
	require.Greater(t, shared, 360)
	require.LessOrEqual(t, shared, 40*(10+1)+2)
}

// Guards against an entry that ignores the other live ones before it heard
// from any of them.
func TestLiveEntriesDivideTheLimit(t *testing.T) {
	c := newCluster(viewWith(t, limited(40, 0, 0)), "a")
	require.InDelta(t, 40*10, c.admitted(10, false), 50)
	c.live = 4
	c.admitted(1, false)
	require.InDelta(t, 10*10, c.admitted(10, false), 15)
}

// Guards against a changed or removed limit that has no effect.
func TestLimitsFollowTheTableInForce(t *testing.T) {
	c := newCluster(viewWith(t, limited(40, 0, 0)), "a")
	c.view = viewWith(t, limited(10, 0, 0))
	c.admitted(2, false)
	require.InDelta(t, 10*10, c.admitted(10, false), 15)
	c.view = viewWith(t, func(r *table.CSVRow) { r.Delete = true })
	require.Equal(t, 200, c.admitted(1, false))
}

// Guards against more concurrent streams of one organisation than its limit of
// requests in flight, and against a place that is never given back.
func TestInFlightBoundsTheStreamsOfACaller(t *testing.T) {
	c := newCluster(viewWith(t, limited(0, 0, 2)), "a")
	first, err := c.entries["a"].Admit(org, 1)
	require.NoError(t, err)
	_, err = c.entries["a"].Admit(org, 1)
	require.NoError(t, err)
	_, err = c.entries["a"].Admit(org, 1)
	require.True(t, errkind.Is(err, errkind.LimitExceeded))
	first(true)
	_, err = c.entries["a"].Admit(org, 1)
	require.NoError(t, err)
}

// Guards against an organisation that pays tokens for requests that were
// refused later and did not run.
func TestTokensOfRefusedRequestsAreGivenBack(t *testing.T) {
	c := newCluster(viewWith(t, limited(0, 100, 0)), "a")
	q := c.entries["a"]
	for range 10 {
		release, err := q.Admit(org, 100)
		require.NoError(t, err)
		release(false)
	}
	release, err := q.Admit(org, 101)
	require.NoError(t, err)
	release(true)
	_, err = q.Admit(org, 100)
	require.True(t, errkind.Is(err, errkind.LimitExceeded))
}

// Guards against reports that grow with the table instead of the traffic.
func TestReportsLeaveOutIdleOrganisations(t *testing.T) {
	c := newCluster(viewWith(t, limited(40, 0, 0)), "a", "b")
	c.admitted(3, true)
	busy := c.entries["a"].NextReports([]string{"b"})["b"]
	require.Len(t, busy.GetDemands(), 1)
	require.Less(t, proto.Size(busy), 120)
	for range 30 {
		c.now = c.now.Add(time.Second)
		c.report()
	}
	for _, d := range c.entries["a"].NextReports([]string{"b"})["b"].GetDemands() {
		require.NotZero(t, d.GetGrantedRequestsPerSecond()+d.GetGrantedTokensPerSecond()+d.GetGrantedInFlight())
	}
}

// Guards against an entry that was restarted under its instance id and whose
// reports are taken for old ones.
func TestRestartedEntryIsHeard(t *testing.T) {
	c := newCluster(viewWith(t, limited(40, 0, 0)), "a", "b")
	c.admitted(40, true)
	c.entries["b"] = c.start("b", "2")
	c.admitted(10, true)
	require.Greater(t, c.admitted(10, true), 360)
}
