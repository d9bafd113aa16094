package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/platform/platformtest"
)

const (
	// limitWindow is the time in which a server may get its limit limitTolerance times,
	// and limitExtra requests.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitExtra     = 5
)

// maxInWindow returns the largest number of times within limitWindow.
func maxInWindow(times []time.Time) int {
	most := 0
	for first, last := 0, 0; last < len(times); last++ {
		for times[last].Sub(times[first]) > limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against a server that states a request limit and gets its usual share of the
// requests, and against requests that fail although other servers have room.
func TestRequestLimitOfServer(t *testing.T) {
	const perSecond = 2.0
	limited, other := platformtest.NewServer("s1"), platformtest.NewServer("s2")
	defer limited.Close()
	defer other.Close()
	limited.SetRequestLimit(perSecond)
	f := newFixture(t, limited, other)
	for n := range 110 {
		require.Equal(t, 200, f.send(http.MethodGet, lookupPath, fmt.Sprintf("a%d", n)).status)
		time.Sleep(40 * time.Millisecond)
	}
	arrivals := limited.Arrivals()
	require.LessOrEqual(t, float64(maxInWindow(arrivals)), limitTolerance*perSecond*limitWindow.Seconds()+limitExtra)
	require.GreaterOrEqual(t, float64(len(arrivals)), perSecond, "the server takes some requests")

	// A refusal without a limit, before which nothing ran, doesn't end it.
	limited.SetBehaviours(platformtest.AtCapacity)
	seen := len(limited.Arrivals())
	f.eventually(func() bool {
		require.Equal(t, 200, f.send(http.MethodGet, lookupPath, "c").status)
		return len(limited.Arrivals()) > seen
	})
	require.Zero(t, f.countLogs("no longer states a request limit"))

	limited.SetRequestLimit(0)
	before := len(arrivals)
	f.eventually(func() bool {
		require.Equal(t, 200, f.send(http.MethodGet, lookupPath, "b").status)
		return len(limited.Arrivals()) > before+30
	})
}
