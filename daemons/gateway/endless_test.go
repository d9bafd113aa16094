package gateway

import (
	"net/http"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

const (
	// maxEndlessBytes bounds what a server can send of a response that the gateway
	// refuses to read: the limits of the gateway and the buffers of the sockets.
	maxEndlessBytes = 24 << 20
	// maxEndlessMemory bounds the memory that the gateway holds for such a response.
	maxEndlessMemory = 16 << 20
)

// Guards against a server that keeps a slot, memory or the time of a request by bytes
// without end that are no response.
func TestEndlessResponses(t *testing.T) {
	for name, c := range map[string]struct {
		behaviour platformtest.Behaviour
		stream    bool
	}{
		"informational responses": {platformtest.EndlessInformational, false},
		"header lines":            {platformtest.EndlessHeader, false},
		"header line":             {platformtest.EndlessHeaderLine, false},
		"response to another":     {platformtest.EndlessOtherResponse, false},
		"body of a refusal":       {platformtest.EndlessRefusal, false},
		"chunk extension":         {platformtest.EndlessChunkExtension, true},
		"trailer":                 {platformtest.EndlessTrailer, true},
		"event":                   {platformtest.EndlessEvent, true},
		"comments":                {platformtest.EndlessComments, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := platformtest.NewServer("s1", c.behaviour)
			defer s.Close()
			other := platformtest.NewServer("s2")
			defer other.Close()
			f := newFixture(t)
			path, service := lookupPath, platformtest.PlainService
			if c.stream {
				path, service = streamPath, platformtest.ModelService
			}
			f.deploy.Register(s.ID, service, s.Address())
			f.deploy.Register(other.ID, service, other.Address())
			f.eventually(func() bool { return len(f.gateway.state.UsableServers(service)) == 2 })
			svc := f.gateway.services.get(service, f.gateway.state)
			for i := 0; s.RequestCount() == 0; i++ {
				before := clock.Now()
				resp := f.send(http.MethodGet, path, "a"+strconv.Itoa(i))
				require.True(t, resp.complete)
				require.Equal(t, 200, resp.status)
				require.Less(t, clock.Now().Sub(before), time.Second)
			}
			f.eventually(func() bool {
				inFlight, _, _ := svc.load()
				return inFlight == 0 && s.CancelledCount() == 1
			})
			require.Less(t, s.EndlessBytes(), maxEndlessBytes)
		})
	}
}

// Guards against a body without end that is buffered, or that outlasts the time of its
// request. The caller must be able to tell that it is incomplete.
func TestEndlessBody(t *testing.T) {
	s := platformtest.NewServer("s1", platformtest.EndlessBody)
	defer s.Close()
	f := newFixture(t, s)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	started := clock.Now()
	resp, err := f.discardResponse(lookupPath, "a", platformtest.WithDeadline("400"))
	require.Equal(t, 200, resp.status)
	require.Error(t, err)
	require.Less(t, clock.Now().Sub(started), time.Second)
	f.eventually(func() bool { return s.CancelledCount() == 1 })
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(maxEndlessMemory))
}
