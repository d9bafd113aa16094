package table

import (
	"io/fs"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/examples"
)

// changeSetRecord returns the log record of a change set.
func changeSetRecord(t testing.TB, offset infra.Offset, set ChangeSet) infra.Record {
	t.Helper()
	data, err := set.Encode()
	require.NoError(t, err)
	return infra.Record{Offset: offset, Time: time.Unix(int64(offset), 0), Data: data}
}

// publishOffices returns the state after the rows of a directory have been
// published, one change set per office.
func publishOffices(t testing.TB, dir fs.FS) *State {
	t.Helper()
	csvTable, err := LoadDir(dir)
	require.NoError(t, err)
	state := NewState()
	for _, office := range csvTable.Offices() {
		set := Diff(state.View(), csvTable, office, "first-"+office)
		v := state.Apply(changeSetRecord(t, state.Offset()+1, set))
		require.Equal(t, OutcomeAccepted, v.Outcome, "%v", v.Faults)
	}
	return state
}

// Guards against an example that can't be published, and against a documented
// API key that does not authenticate its organisation.
func TestExamplesPublish(t *testing.T) {
	for name, dir := range map[string]fs.FS{"demo": examples.Demo(), "tesatoria": examples.Tesatoria(), "kandy": examples.Kandy()} {
		t.Run(name, func(t *testing.T) {
			view := publishOffices(t, dir).View()
			require.GreaterOrEqual(t, len(view.Organisations()), 3)
			for _, o := range view.Organisations() {
				found, ok := view.OrganisationByKeyHash(HashAPIKey(examples.DevKey(o.Name)))
				require.True(t, ok)
				require.Equal(t, o, found)
			}
		})
	}
}

// Guards against route lookups that return a non-idempotent route as idempotent,
// and against class lookups that ignore the default class of a service.
func TestDemoLookups(t *testing.T) {
	view := publishOffices(t, examples.Demo()).View()
	for _, c := range []struct {
		service, method, path string
		found, idempotent     bool
	}{
		{"order-book", "POST", "/orders", true, false},
		{"order-book", "GET", "/stock/label-7", true, true},
		{"order-book", "GET", "/stock/", false, false},
		{"order-book", "GET", "/stock/a/b", false, false},
		{"order-book", "DELETE", "/orders", false, false},
		{"workshop-app", "POST", "/bookings", true, false},
		{"workshop-app", "GET", "/parts/rung", true, true},
		{"text-desk", "GET", "/", false, false},
	} {
		route, ok := view.MatchRoute(c.service, c.method, c.path)
		require.Equal(t, c.found, ok, "%+v", c)
		require.Equal(t, c.idempotent, route.Idempotent, "%+v", c)
	}
	class, ok := view.ClassOf("foremen", "workshop-app")
	require.True(t, ok)
	require.Equal(t, "accounts", class.Name, "an empty class means the default class of the service")
	require.Equal(t, "desk", view.Classes()[0].Name)
	require.InDelta(t, DefaultWeight, view.WeightOf("nobody"), 0)
	require.True(t, view.ChecksFencingTokens("text-desk"))
	require.False(t, view.ChecksFencingTokens("drafting-models"))
}
