package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against servers that are kept for good after they were replaced, because the gateway
// has no requests for their service, and against a pace that ends when a server isn't listed
// for a moment.
func TestReplacedServersAreForgotten(t *testing.T) {
	s := New[int](Config{QueueCapacity: 8}, rand.New(rand.NewPCG(1, 2)))
	now := time.Unix(1000, 0)
	for i := range 100 {
		now = now.Add(time.Minute)
		s.SetServers([]Server{{ID: fmt.Sprint("s", i), Slots: 1}})
		s.SetPace(now, fmt.Sprint("s", i), time.Second, true)
		s.Dispatch(now)
	}
	require.LessOrEqual(t, len(s.servers), 2)
	s.ConfirmSend(now, "s99")
	s.SetServers(nil)
	require.NotEmpty(t, s.servers, "the pace of the last one holds")
	require.False(t, s.ConfirmSend(now.Add(time.Millisecond), "s99"))
}
