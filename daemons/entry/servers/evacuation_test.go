package servers

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/routing"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/table"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// evacuate replaces the table by one in which exactly these failure domains are evacuated.
func (f *fakeSidecars) evacuate(t *testing.T, domains ...string) {
	t.Helper()
	csvTable := &table.CSVTable{}
	for _, domain := range domains {
		row := table.Row{Office: "sibiu", Evacuation: &table.Evacuation{FailureDomain: domain}}
		csvTable.Rows = append(csvTable.Rows, table.CSVRow{Row: row})
	}
	view, err := table.ViewFromCSV(csvTable)
	require.NoError(t, err)
	f.view = view
}

// inDomain returns the number of picks in a failure domain: even numbers are in d0, odd
// ones in d1.
func inDomain(t *testing.T, domain string, counts map[string]int) int {
	t.Helper()
	total := 0
	for id, n := range counts {
		number, err := strconv.Atoi(id[1:])
		require.NoError(t, err)
		if domain == "d"+strconv.Itoa(number%2) {
			total += n
		}
	}
	return total
}

// Guards against a request of any kind, or a probe for routing, for a server in an
// evacuated failure domain, from the moment at which the table is in force, and against
// servers that get no requests after the evacuation was taken back.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	requests := map[string]Request{
		"plain": {}, "prefix": {Prefix: 7}, "suspect": {SuspectHash: "x"}, "duplicate": {DuplicateServer: "s0"},
		"retry": {Tried: []string{"s1"}},
	}
	for i := range 12 {
		key := strconv.Itoa(i)
		requests["booking "+key] = Request{IdempotencyKey: key}
	}
	for _, policy := range []string{DefaultPolicy, "power_of_two+domain", "least_reported+domain", "round_robin"} {
		f := newFakeSidecars(policy, 1, 6)
		f.pickInterval = 10 * time.Millisecond
		f.advance(time.Second)
		picksBefore := 0
		for name, r := range requests {
			picksBefore += inDomain(t, "d0", f.countPicks(t, 10, r))
			f.evacuate(t, "d0")
			counts := f.countPicks(t, 10, r)
			require.Zero(t, inDomain(t, "d0", counts), "%s %s", policy, name)
			r.Service = "desk"
			for range 10 {
				for _, probed := range f.servers.policyProbes(r) {
					require.Equal(t, "d1", probed.FailureDomain, "%s %s", policy, name)
				}
			}
			f.evacuate(t)
		}
		require.Positive(t, picksBefore, policy)
		require.Positive(t, inDomain(t, "d0", f.countPicks(t, 20, Request{})), policy)
	}
}

// Guards against a request that is refused, or sent to an evacuated failure domain, while
// a server elsewhere can take it as a last resort, and against a retry without a server.
func TestSuspectServersComeBeforeEvacuatedOnes(t *testing.T) {
	f := newFakeSidecars(DefaultPolicy, 1, 4)
	f.advance(time.Second)
	for _, id := range []string{"s1", "s3"} {
		f.servers.RecordConnectionFailure(infra.Instance{ID: id, Service: "desk"}, f.now, false)
	}
	f.evacuate(t, "d0")
	require.Equal(t, 2, f.servers.UsableCount("desk"))
	require.NoError(t, f.servers.RefusalByEvacuation("desk"))
	require.Equal(t, 10, inDomain(t, "d1", f.countPicks(t, 10, Request{})))
	require.True(t, f.servers.HasCandidate(Request{Service: "desk", Tried: []string{"s1"}}))
	require.False(t, f.servers.HasCandidate(Request{Service: "desk", Tried: []string{"s1", "s3"}}))
}

// Guards against a refusal that can't be told from that of a service whose servers are
// dead, that asks callers to come back at once or is not proved to be not_run.
func TestRefusalNamesEvacuatedDomains(t *testing.T) {
	f := newFakeSidecars(DefaultPolicy, 1, 4)
	f.advance(time.Second)
	f.evacuate(t, "d1", "d0", "elsewhere")
	require.Zero(t, f.servers.UsableCount("desk"))
	_, pickErr := f.servers.Pick(Request{Service: "desk"})
	for _, err := range []error{pickErr, f.servers.RefusalByEvacuation("desk")} {
		e := errkind.Of(err)
		require.Equal(t, errkind.NoBackendServer, e.Kind)
		require.Equal(t, errkind.NotRun, e.Execution)
		require.Equal(t, evacuationRetryAfter, e.RetryAfter)
		require.Regexp(t, "evacuated failure domains: d0, d1$", e.Message)
	}
	for i := range 4 {
		f.dead["s"+strconv.Itoa(i)] = true
	}
	f.advance(10 * time.Second)
	_, pickErr = f.servers.Pick(Request{Service: "desk"})
	require.True(t, errkind.Is(pickErr, errkind.NoBackendServer))
	require.NotContains(t, pickErr.Error(), "evacuated")
	require.NoError(t, f.servers.RefusalByEvacuation("desk"))
}

// Guards against a request that is sent after the evacuation although it was picked before
// it, and against one that stays at a server there although another one can take it.
func TestPickedRequestsFollowTheTable(t *testing.T) {
	f := newFakeSidecars("round_robin", 1, 2)
	f.advance(time.Second)
	r := Request{Service: "desk"}
	picked := infra.Instance{ID: "s0", Service: "desk", FailureDomain: "d0"}
	r.Tried = []string{"s0"}
	require.NoError(t, f.servers.CheckSend(picked))
	require.False(t, f.servers.ShouldMove(picked, r))
	f.evacuate(t, "d0")
	err := errkind.Of(f.servers.CheckSend(picked))
	require.Equal(t, errkind.NotRun, err.Execution)
	require.Equal(t, evacuationRetryAfter, err.RetryAfter)
	require.True(t, f.servers.ShouldMove(picked, r))
	f.evacuate(t, "d0", "d1")
	require.False(t, f.servers.ShouldMove(picked, r), "no other server is left")
	f.evacuate(t, "d1")
	require.NoError(t, f.servers.CheckSend(picked))
}

// Guards against evacuated servers that lower the mean load, so that no other server is
// within the bound of prefix affinity, and against an evacuation that removes the known
// load of a server whose requests go on.
func TestLoadOfEvacuatedServersDoesNotCount(t *testing.T) {
	f := newFakeSidecars(DefaultPolicy, 1, 8)
	f.pickInterval = 250 * time.Millisecond
	for i := range 8 {
		f.load["s"+strconv.Itoa(i)] = 10
	}
	f.advance(time.Second)
	running, err := f.servers.Pick(Request{Service: "desk"})
	require.NoError(t, err)
	f.evacuate(t, running.FailureDomain)
	for i := range 8 {
		if id := "s" + strconv.Itoa(i); "d"+strconv.Itoa(i%2) == running.FailureDomain {
			f.load[id] = 0
			f.servers.RecordResponse(infra.Instance{ID: id, Service: "desk", FailureDomain: running.FailureDomain}, f.now,
				&pb.Load{Incarnation: id}, routing.Reported)
		}
	}
	f.advance(maxReportAge + time.Second)
	require.Len(t, f.countPicks(t, 40, Request{Prefix: 7}), 1, "all requests with one prefix go to one server")
	f.servers.EndAttempt(running)
}

// Guards against an evacuated server that is no longer probed, so that it would count as
// dead or be used blindly when the evacuation is taken back.
func TestEvacuatedServersStayKnown(t *testing.T) {
	f := newFakeSidecars("round_robin", 1, 4)
	f.advance(time.Second)
	f.evacuate(t, "d0")
	f.advance(10 * time.Second)
	require.Equal(t, 2, f.servers.CountInDomain("d0"))
	f.dead["s0"] = true
	f.advance(10 * time.Second)
	f.evacuate(t)
	counts := f.countPicks(t, 30, Request{})
	require.Zero(t, counts["s0"])
	require.Positive(t, counts["s2"])
}
