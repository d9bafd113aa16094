package leaselog_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/rankgroup/leaselog"
)

// lossyLog is an in-memory log. It stores every record, but loses the response
// to each third append.
type lossyLog struct {
	mu      sync.Mutex
	down    bool
	records []infra.Record
}

func (m *lossyLog) Append(_ context.Context, _ string, data []byte) (infra.Offset, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return 0, errkind.New(errkind.PlatformUnavailable, "outage")
	}
	end := infra.Offset(len(m.records) + 1)
	m.records = append(m.records, infra.Record{Offset: end, Time: time.Now(), Data: data})
	if end%3 == 0 {
		return 0, errkind.New(errkind.PlatformUnavailable, "response lost")
	}
	return end, nil
}

func (m *lossyLog) Read(_ context.Context, _ string, after infra.Offset, _ int, _ time.Duration) (infra.Batch, error) {
	time.Sleep(50 * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return infra.Batch{}, errkind.New(errkind.PlatformUnavailable, "outage")
	}
	return infra.Batch{Records: append([]infra.Record(nil), m.records[after:]...), Oldest: 1, End: infra.Offset(len(m.records))}, nil
}

func (m *lossyLog) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// Guards against a lease without a holder after a hand-over, two holders at the
// same time, an old token that passes the check, and a holder that keeps acting
// during an outage of the log.
func TestHandOverAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, s := &lossyLog{}, leaselog.DefaultSettings()
		open := func(name string, seed uint64) *leaselog.Client {
			return leaselog.New(log, name, time.Now, rand.New(rand.NewPCG(seed, 0)), s)
		}
		a, b, observer := open("a", 1), open("b", 2), open("c", 3)
		a.Campaign("group-1")
		time.Sleep(5 * time.Second)
		b.Campaign("group-1")
		time.Sleep(60 * time.Second)
		first, ok := a.Token("group-1")
		require.True(t, ok)
		_, ok = b.Token("group-1")
		require.False(t, ok)
		require.NoError(t, observer.CheckToken("group-1", first))
		current, ok := observer.CurrentToken("group-1")
		require.True(t, ok)
		require.Equal(t, first, current)

		a.Close(t.Context())
		time.Sleep(10 * time.Second)
		second, ok := b.Token("group-1")
		require.True(t, ok)
		require.Greater(t, second, first)
		require.NoError(t, observer.CheckToken("group-1", second))
		require.True(t, errkind.Is(observer.CheckToken("group-1", first), errkind.StaleFencingToken))

		log.setDown(true)
		time.Sleep(s.Lease.TTL)
		_, ok = b.Token("group-1")
		require.False(t, ok)
		require.True(t, errkind.Is(observer.CheckToken("group-1", second), errkind.LogUnavailable))
		_, ok = observer.CurrentToken("group-1")
		require.False(t, ok)
		log.setDown(false)
		time.Sleep(3 * s.Lease.TTL)
		_, ok = b.Token("group-1")
		require.True(t, ok)
		b.Close(t.Context())
		observer.Close(t.Context())
	})
}
