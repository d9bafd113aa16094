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

// viewWith returns the demo table with the limit of org edited.
func viewWith(t *testing.T, edit func(*table.CSVRow)) *table.View {
	t.Helper()
	csvTable, err := table.LoadDir(examples.Demo())
	require.NoError(t, err)
	for i := range csvTable.Rows {
		if limit := csvTable.Rows[i].Row.Limit; limit != nil && limit.Organisation == org {
			edit(&csvTable.Rows[i])
		}
	}
	state := table.NewState()
	for _, office := range csvTable.Offices() {
		data, err := table.Diff(state.View(), csvTable, office, "first-"+office).Encode()
		require.NoError(t, err)
		require.Equal(t, table.OutcomeAccepted, state.Apply(infra.Record{Offset: state.Offset() + 1, Data: data}).Outcome)
	}
	return state.View()
}

func setLimit(requests, tokens float64, inFlight int) func(*table.CSVRow) {
	return func(r *table.CSVRow) {
		r.Row.Limit.RequestsPerSecond, r.Row.Limit.TokensPerSecond, r.Row.Limit.InFlight = requests, tokens, inFlight
	}
}

// entryCluster is a set of entries with one injected clock.
type entryCluster struct {
	now         time.Time
	view        *table.View
	liveEntries int
	entries     map[string]*Quota
}

func newCluster(view *table.View, names ...string) *entryCluster {
	c := &entryCluster{now: time.Unix(1000, 0), view: view, liveEntries: len(names), entries: make(map[string]*Quota)}
	for _, name := range names {
		c.entries[name] = c.newEntry(name, "1")
	}
	c.now = c.now.Add(time.Second) // fills the buckets
	return c
}

func (c *entryCluster) newEntry(name, incarnation string) *Quota {
	return New(Config{
		Instance: name, Incarnation: incarnation,
		View:        func() *table.View { return c.view },
		LiveEntries: func() int { return c.liveEntries },
		Now:         func() time.Time { return c.now },
	})
}

// exchangeReports sends one report from each entry to each other one.
func (c *entryCluster) exchangeReports() {
	names := slices.Sorted(maps.Keys(c.entries))
	for _, name := range names {
		others := slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })
		reports := c.entries[name].NextReports(others)
		for _, to := range others {
			c.entries[to].Receive(reports[to])
		}
	}
}

// countAdmitted sends 200 requests/s to entry a for the given number of seconds and
// returns how many it admits.
func (c *entryCluster) countAdmitted(seconds int, reports bool) int {
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
			c.exchangeReports()
		}
	}
	return total
}

// Guards against entries that share a limit equally although only one of them has
// demand, and against an exceeded limit.
func TestReportsShiftLimitToDemand(t *testing.T) {
	c := newCluster(viewWith(t, setLimit(40, 0, 0)), "a", "b")
	alone := c.countAdmitted(10, false)
	require.InDelta(t, 20*10, alone, 30, "without reports an entry has an equal share")
	c.countAdmitted(5, true)
	shared := c.countAdmitted(10, true)
	require.Greater(t, shared, 360)
	require.LessOrEqual(t, shared, 40*(10+1)+2)
}

// Guards against an entry that uses the whole limit until it receives the first
// report of the other live entries.
func TestLiveEntriesShareLimitEqually(t *testing.T) {
	c := newCluster(viewWith(t, setLimit(40, 0, 0)), "a")
	require.InDelta(t, 40*10, c.countAdmitted(10, false), 50)
	c.liveEntries = 4
	c.countAdmitted(1, false)
	require.InDelta(t, 10*10, c.countAdmitted(10, false), 15)
}

// Guards against a changed or removed limit that has no effect.
func TestLimitsFollowTheTableInForce(t *testing.T) {
	c := newCluster(viewWith(t, setLimit(40, 0, 0)), "a")
	c.view = viewWith(t, setLimit(10, 0, 0))
	c.countAdmitted(2, false)
	require.InDelta(t, 10*10, c.countAdmitted(10, false), 15)
	c.view = viewWith(t, func(r *table.CSVRow) { r.Delete = true })
	require.Equal(t, 200, c.countAdmitted(1, false))
}

// Guards against more concurrent requests of an organisation than its limit of
// requests in flight, and against a request that counts as in flight after its
// release.
func TestInFlightLimit(t *testing.T) {
	c := newCluster(viewWith(t, setLimit(0, 0, 2)), "a")
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

// Guards against an organisation that is charged tokens for requests that were
// refused after Admit and did not run.
func TestTokensOfRefusedRequestsAreReturned(t *testing.T) {
	c := newCluster(viewWith(t, setLimit(0, 100, 0)), "a")
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

// Guards against reports whose size grows with the table instead of the traffic.
func TestReportsOmitIdleOrganisations(t *testing.T) {
	c := newCluster(viewWith(t, setLimit(40, 0, 0)), "a", "b")
	c.countAdmitted(3, true)
	busy := c.entries["a"].NextReports([]string{"b"})["b"]
	require.Len(t, busy.GetDemands(), 1)
	require.Less(t, proto.Size(busy), 120)
	for range 30 {
		c.now = c.now.Add(time.Second)
		c.exchangeReports()
	}
	for _, d := range c.entries["a"].NextReports([]string{"b"})["b"].GetDemands() {
		require.NotZero(t, d.GetGrantedRequestsPerSecond()+d.GetGrantedTokensPerSecond()+d.GetGrantedInFlight())
	}
}

// Guards against reports that are dropped as outdated because the sending entry was
// restarted with the same instance id and its sequence numbers start again.
func TestReportsOfRestartedEntryAreAccepted(t *testing.T) {
	c := newCluster(viewWith(t, setLimit(40, 0, 0)), "a", "b")
	c.countAdmitted(40, true)
	c.entries["b"] = c.newEntry("b", "2")
	c.countAdmitted(10, true)
	require.Greater(t, c.countAdmitted(10, true), 360)
}
