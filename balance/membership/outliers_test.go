package membership_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/membership"
	"github.com/filbertmux/filbertmux/base/infra"
)

func candidatesOf(n int) []membership.Server {
	var found []membership.Server
	for i := range n {
		found = append(found, membership.Server{Instance: infra.Instance{ID: strconv.Itoa(i)}})
	}
	return found
}

func failFor(o *membership.OutlierDetector, now time.Time, id string, times int) {
	for range times {
		o.RecordFailure(now, id)
	}
}

// Guards against a server that answers probes, fails each request and keeps its
// share of the work; against one that never gets work again after it recovered;
// and against a hold that does not grow while the server keeps failing.
func TestFailingServerIsEjected(t *testing.T) {
	cfg := membership.DefaultOutlierConfig()
	o, now, all := membership.NewOutlierDetector(cfg), time.Unix(1_700_000_000, 0), candidatesOf(4)
	failFor(o, now, "2", cfg.ConsecutiveFailures-1)
	require.Len(t, o.Filter(now, all), 4)
	o.RecordFailure(now, "2")
	require.Equal(t, append(candidatesOf(2), all[3]), o.Filter(now, all))
	hold := cfg.BaseEjectionTime
	for range 10 {
		require.Len(t, o.Filter(now.Add(hold-1), all), 3)
		now = now.Add(hold)
		require.Len(t, o.Filter(now, all), 4)
		o.RecordFailure(now, "2")
		hold = min(2*hold, cfg.MaxEjectionTime)
	}
	now = now.Add(hold)
	o.RecordSuccess("2")
	failFor(o, now, "2", cfg.ConsecutiveFailures-1)
	require.Len(t, o.Filter(now, all), 4)
}

// Guards against the ejection of a server that fails some requests among others
// that it answers, such as those of one caller.
func TestMixedResultsEjectNobody(t *testing.T) {
	cfg := membership.DefaultOutlierConfig()
	o, now := membership.NewOutlierDetector(cfg), time.Unix(1_700_000_000, 0)
	for range 50 {
		failFor(o, now, "1", cfg.ConsecutiveFailures-1)
		o.RecordSuccess("1")
	}
	require.Len(t, o.Filter(now, candidatesOf(4)), 4)
}

// Guards against a fault of a whole service that leaves all its work to the few
// servers that are not ejected.
func TestEjectionIsBounded(t *testing.T) {
	cfg := membership.DefaultOutlierConfig()
	o, now, all := membership.NewOutlierDetector(cfg), time.Unix(1_700_000_000, 0), candidatesOf(6)
	for i := range 3 {
		failFor(o, now, strconv.Itoa(i), cfg.ConsecutiveFailures)
	}
	require.Len(t, o.Filter(now, all), 3)
	failFor(o, now, "3", cfg.ConsecutiveFailures)
	require.Len(t, o.Filter(now, all), 6)
	o.Retain(func(id string) bool { return id != "3" })
	require.Len(t, o.Filter(now, all), 3)
}
