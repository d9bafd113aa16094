package table

import (
	"io/fs"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/examples"
)

// record returns the log record of a change set.
func record(t testing.TB, offset infra.Offset, s ChangeSet) infra.Record {
	t.Helper()
	data, err := s.Encode()
	require.NoError(t, err)
	return infra.Record{Offset: offset, Time: time.Unix(int64(offset), 0), Data: data}
}

// foldOf publishes a directory office by office.
func foldOf(t testing.TB, dir fs.FS) *State {
	t.Helper()
	sheet, err := LoadDir(dir)
	require.NoError(t, err)
	f := NewState()
	for _, office := range sheet.Offices() {
		set := Diff(f.View(), sheet, office, "first-"+office)
		v := f.Apply(record(t, f.Offset()+1, set))
		require.Equal(t, OutcomeAccepted, v.Outcome, "%v", v.Faults)
	}
	return f
}

// Guards against an example that can't be published, and against a key in the
// documentation that does not open its organisation.
func TestExamplesPublish(t *testing.T) {
	for name, dir := range map[string]fs.FS{"demo": examples.Demo(), "tesatoria": examples.Tesatoria(), "kandy": examples.Kandy()} {
		t.Run(name, func(t *testing.T) {
			view := foldOf(t, dir).View()
			require.GreaterOrEqual(t, len(view.Organisations()), 3)
			for _, o := range view.Organisations() {
				found, ok := view.OrganisationByKeyHash(HashAPIKey(examples.DevKey(o.Name)))
				require.True(t, ok)
				require.Equal(t, o, found)
			}
		})
	}
}

// Guards against lookups that confuse bookings with idempotent calls, or
// classes with defaults.
func TestDemoLookups(t *testing.T) {
	view := foldOf(t, examples.Demo()).View()
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
	require.Equal(t, "accounts", class.Name, "empty class takes the service's default")
	require.Equal(t, "desk", view.Classes()[0].Name)
	require.InDelta(t, DefaultWeight, view.WeightOf("nobody"), 0)
	require.True(t, view.ChecksFencingTokens("text-desk"))
	require.False(t, view.ChecksFencingTokens("drafting-models"))
}
