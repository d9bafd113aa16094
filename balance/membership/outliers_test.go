package membership_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/balance/membership"
	"github.com/filbertmux/filbertmux/base/infra"
)

func numberedServers(n int) []membership.Server {
	var servers []membership.Server
	for i := range n {
		servers = append(servers, membership.Server{Instance: infra.Instance{ID: strconv.Itoa(i)}})
	}
	return servers
}

func recordFailures(detector *membership.OutlierDetector, now time.Time, id string, times int) {
	for range times {
		detector.RecordFailure(now, id)
	}
}

// A server that answers probes but fails every request must lose its share of the
// requests and get it back after it has recovered. The ejection time must grow
// while the server keeps failing.
func TestFailingServerIsEjected(t *testing.T) {
	cfg := membership.DefaultOutlierConfig()
	detector, now, all := membership.NewOutlierDetector(cfg), time.Unix(1_700_000_000, 0), numberedServers(4)
	recordFailures(detector, now, "2", cfg.ConsecutiveFailures-1)
	require.Len(t, detector.Filter(now, all), 4)
	detector.RecordFailure(now, "2")
	require.Equal(t, append(numberedServers(2), all[3]), detector.Filter(now, all))
	ejectionTime := cfg.BaseEjectionTime
	for range 10 {
		require.Len(t, detector.Filter(now.Add(ejectionTime-1), all), 3)
		now = now.Add(ejectionTime)
		require.Len(t, detector.Filter(now, all), 4)
		detector.RecordFailure(now, "2")
		ejectionTime = min(2*ejectionTime, cfg.MaxEjectionTime)
	}
	now = now.Add(ejectionTime)
	detector.RecordSuccess("2")
	recordFailures(detector, now, "2", cfg.ConsecutiveFailures-1)
	require.Len(t, detector.Filter(now, all), 4)
}

// A server that answers some requests and fails others, such as those of one
// caller, must not be ejected.
func TestMixedResultsEjectNoServer(t *testing.T) {
	cfg := membership.DefaultOutlierConfig()
	detector, now := membership.NewOutlierDetector(cfg), time.Unix(1_700_000_000, 0)
	for range 50 {
		recordFailures(detector, now, "1", cfg.ConsecutiveFailures-1)
		detector.RecordSuccess("1")
	}
	require.Len(t, detector.Filter(now, numberedServers(4)), 4)
}

// When a whole service is faulty, the few servers that are not ejected must not get
// all its requests.
func TestEjectionIsBounded(t *testing.T) {
	cfg := membership.DefaultOutlierConfig()
	detector, now, all := membership.NewOutlierDetector(cfg), time.Unix(1_700_000_000, 0), numberedServers(6)
	for i := range 3 {
		recordFailures(detector, now, strconv.Itoa(i), cfg.ConsecutiveFailures)
	}
	require.Len(t, detector.Filter(now, all), 3)
	recordFailures(detector, now, "3", cfg.ConsecutiveFailures)
	require.Len(t, detector.Filter(now, all), 6)
	detector.Retain(func(id string) bool { return id != "3" })
	require.Len(t, detector.Filter(now, all), 3)
}
