package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/clock"
)

// Guards against silent peers that never expire because the load changes all the time: the
// pollers, the gateways that share a limit and the ejections would stay as they were.
func TestPeersExpireUnderChangingLoad(t *testing.T) {
	var s reportSchedule
	start := clock.Now()
	last := start
	for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(minReportInterval) {
		send, expire := s.next(at, true)
		require.True(t, send)
		if expire {
			last = at
		}
		require.LessOrEqual(t, at.Sub(last), maxReportInterval)
	}
	require.NotEqual(t, start, last)
}
