package fleet

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/rankgroup/leaselog"
	"github.com/filbertmux/filbertmux/serve/claim"
	"github.com/filbertmux/filbertmux/serve/claimlog"
)

// Guards against a reader that steps back while the regions are apart for an
// hour, one that can't start in the region without the log, and one that is
// not at the newest offset 7 s after they meet. In the second run the log is
// down for the hour, too.
func TestRegionsApartTable(t *testing.T) {
	for name, logDown := range map[string]bool{"log reachable from one": false, "log reachable from none": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hour := Window{5 * time.Minute, 65 * time.Minute}
				c := Config{
					Seed: 1, Readers: 16, Regions: 2, Organisations: 4, Duration: 70 * time.Minute,
					Log:           LogConfig{Retention: 90 * time.Minute, LostAppendShare: 0.05},
					ChangesPerDay: 4000, Restarts: 40, RegionPartition: hour, MessagesPerSec: 0.1,
				}
				if logDown {
					c.Outages = []Window{hour}
				}
				r, err := Run(t.Context(), c)
				require.NoError(t, err)
				t.Logf("%+v", r)
				require.Zero(t, r.Reverts, r.FirstViolation)
				require.Zero(t, r.Disagreements, r.FirstViolation)
				require.Zero(t, r.Missing)
				require.Zero(t, r.Late)
				require.Positive(t, r.CatchUps.Count)
				require.LessOrEqual(t, r.CatchUps.Worst, PropagationBound)
				// Each start, also in the region without the log, gets to the newest
				// offset that a peer there had.
				require.GreaterOrEqual(t, r.Starts.Count, 16+30)
				require.LessOrEqual(t, r.Starts.Worst, PropagationBound)
			})
		})
	}
}

// sidecar is the claims and leases of one process.
type sidecar struct {
	name   string
	region int
	link   *Link
	claims *claimlog.Client
	leases *leaselog.Client
}

// apart is two regions with sidecars of one service.
type apart struct {
	t        *testing.T
	log      *Log
	sidecars []*sidecar

	mu   sync.Mutex
	runs map[string]int
}

const service = "order-book"

func newApart(t *testing.T) *apart {
	a := &apart{t: t, log: NewLog(LogConfig{Retention: 24 * time.Hour}, rand.New(rand.NewPCG(1, 1))), runs: make(map[string]int)}
	for n := range 4 {
		s := &sidecar{name: fmt.Sprintf("sidecar-%d", n), region: n / 2}
		s.link = NewLink(latencyBetween(s.region, logRegion))
		settings := claimlog.DefaultSettings()
		settings.Partitions = 1
		s.claims = claimlog.New(&Client{Log: a.log, Link: s.link, DeliverDropped: true}, s.name, time.Now, settings)
		require.NoError(t, s.claims.StartPartition(service, 0))
		s.leases = leaselog.New(&Client{Log: a.log, Link: s.link, DeliverDropped: true}, s.name, time.Now, rand.New(rand.NewPCG(uint64(n), 1)), leaselog.DefaultSettings())
		a.sidecars = append(a.sidecars, s)
	}
	return a
}

func (a *apart) close() {
	ctx, cancel := context.WithTimeout(a.t.Context(), 10*time.Second)
	defer cancel()
	for _, s := range a.sidecars {
		assert.NoError(a.t, s.claims.Shutdown(ctx))
		s.leases.Close(ctx)
	}
}

// cut separates region 1 from the log. If nothing reaches it, region 0 is
// separated as well.
func (a *apart) cut(on, both bool) {
	mode := Pass
	if on {
		mode = Drop
	}
	for _, s := range a.sidecars {
		if s.region != logRegion || both {
			s.link.SetMode(mode)
		}
	}
}

// newKey returns a UUIDv7 of the bubble's present time.
func newKey(rng *rand.Rand) string {
	var key uuid.UUID
	ms := time.Now().UnixMilli()
	for i := range key {
		key[i] = byte(rng.Uint32())
		if i < 6 {
			key[i] = byte(ms >> (40 - 8*i))
		}
	}
	key[6], key[8] = key[6]&0x0f|0x70, key[8]&0x3f|0x80
	return key.String()
}

// send sends a booking to a sidecar. The run takes the given time.
func (a *apart) send(s *sidecar, key string, takes time.Duration) error {
	r := claim.Request{
		Organisation: "org", Service: service, Key: key, BodyHash: "a",
		Deadline: time.Now().Add(30 * time.Second),
	}
	_, err := s.claims.Run(a.t.Context(), r, func(context.Context) (claim.Answer, error) {
		assert.True(a.t, a.claimed(s.name, key), "key %s runs on %s without a claim in the log", key, s.name)
		a.mu.Lock()
		a.runs[key]++
		a.mu.Unlock()
		time.Sleep(takes)
		return claim.Answer{Status: 201, Body: []byte(key)}, nil
	})
	return err
}

// claimed reports whether the log has a claim of the sidecar for the key.
func (a *apart) claimed(incarnation, key string) bool {
	batch, err := a.log.read(a.t.Context(), claim.StreamName(service, 0), 0, 1<<30, 0, nil)
	require.NoError(a.t, err)
	for _, r := range batch.Records {
		if bytes.Contains(r.Data, []byte(key)) && bytes.Contains(r.Data, []byte(incarnation)) {
			return true
		}
	}
	return false
}

func (a *apart) ran(key string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runs[key]
}

// Guards against a booking that runs without a claim, or twice, or is refused
// as not_run in a region that can't reach the log, before, during and after
// the hour.
func TestRegionsApartBookings(t *testing.T) {
	for name, both := range map[string]bool{"log reachable from one": false, "log reachable from none": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkBookings(t, both) })
		})
	}
}

func checkBookings(t *testing.T, both bool) {
	a := newApart(t)
	defer a.close()
	rng := rand.New(rand.NewPCG(1, 2))
	time.Sleep(10 * time.Second)
	known := newKey(rng)
	require.NoError(t, a.send(a.sidecars[2], known, 0))

	// These run, or are claimed, while the cut begins.
	var underway []string
	var sends sync.WaitGroup
	for range 40 {
		key := newKey(rng)
		underway = append(underway, key)
		s, takes := a.sidecars[2+rng.IntN(2)], time.Duration(rng.IntN(3000))*time.Millisecond
		sends.Go(func() { _ = a.send(s, key, takes) })
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
	}
	a.cut(true, both)
	sends.Wait()
	time.Sleep(5 * time.Second)
	var refused []string
	for range 180 {
		key, s := newKey(rng), a.sidecars[2+rng.IntN(2)]
		err := a.send(s, key, 0)
		require.Equal(t, errkind.Unknown, errkind.Of(err).Execution, "%v", err)
		require.Zero(t, a.ran(key))
		refused = append(refused, key)
		err = a.send(a.sidecars[rng.IntN(2)], newKey(rng), 0)
		if both {
			require.Equal(t, errkind.Unknown, errkind.Of(err).Execution, "%v", err)
		} else {
			require.NoError(t, err, "the region with the log goes on")
		}
		// A caller sends a refused or interrupted booking again in the other region.
		again := refused[rng.IntN(len(refused))]
		if rng.IntN(2) == 0 {
			again = underway[rng.IntN(len(underway))]
		}
		_ = a.send(a.sidecars[rng.IntN(2)], again, 0)
		time.Sleep(15 * time.Second)
	}
	a.cut(false, both)
	time.Sleep(PropagationBound)
	answered := 0
	for _, key := range append(underway, refused...) {
		for _, s := range a.sidecars {
			if a.send(s, key, 0) == nil {
				answered++
			}
			require.LessOrEqual(t, a.ran(key), 1, "key %s", key)
		}
	}
	t.Logf("%d records in the stream of claims", a.log.stream(claim.StreamName(service, 0)).end())
	require.NoError(t, a.send(a.sidecars[0], known, 0), "an answer of before the cut is replayed")
	require.Equal(t, 1, a.ran(known))
	for _, key := range refused {
		require.Equal(t, 1, a.ran(key), "a refused booking runs once when it is sent again")
	}
	t.Logf("%d keys were underway and %d refused in the cut region; %d sends were answered afterwards", len(underway), len(refused), answered)
}

// Guards against two processes that act under one duty, and against a duty
// that moves without a record in the log, while the regions are apart.
func TestRegionsApartLeases(t *testing.T) {
	for name, both := range map[string]bool{"log reachable from one": false, "log reachable from none": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkLeases(t, both) })
		})
	}
}

func checkLeases(t *testing.T, both bool) {
	const shared, remote = "group-shared", "group-remote" // members in both regions, in the cut one only
	a := newApart(t)
	defer a.close()
	a.sidecars[2].leases.Campaign(shared)
	a.sidecars[2].leases.Campaign(remote)
	time.Sleep(40 * time.Second)
	for _, s := range a.sidecars {
		s.leases.Campaign(shared)
		if s.region == 1 {
			s.leases.Campaign(remote)
		}
	}
	time.Sleep(time.Minute)
	before := map[string]infra.Offset{}
	for _, duty := range []string{shared, remote} {
		token, held := a.sidecars[2].leases.Token(duty)
		require.True(t, held)
		before[duty] = token
	}
	// A holder may have asked for its token just before the cut and act late.
	late := before[shared]
	a.cut(true, both)
	moved, second := time.Duration(0), false
	for began := time.Now(); time.Since(began) < time.Hour; time.Sleep(time.Second) {
		for _, duty := range []string{shared, remote} {
			held, newest := a.holders(duty)
			require.LessOrEqual(t, len(held), 1, "%s is held by %v", duty, held)
			if len(held) == 1 && newest != before[duty] {
				require.True(t, a.granted(newest), "token %d is no record of the log", newest)
				require.Equal(t, shared, duty)
				require.False(t, both)
				if !second {
					moved, second = time.Since(began), true
				}
			}
		}
		if second {
			require.Error(t, a.sidecars[0].leases.CheckToken(shared, late), "an old token passes where the log is")
		}
		if time.Since(began) > 2*time.Minute {
			_, held := a.sidecars[2].leases.Token(remote)
			require.False(t, held)
			require.True(t, errkind.Is(a.sidecars[3].leases.CheckToken(remote, before[remote]), errkind.LogUnavailable))
			require.True(t, errkind.Is(a.sidecars[3].leases.CheckToken(shared, late), errkind.LogUnavailable))
		}
	}
	require.Equal(t, !both, second, "a member that reaches the log takes the shared duty over")
	a.cut(false, both)
	time.Sleep(2 * time.Minute)
	for _, duty := range []string{shared, remote} {
		held, token := a.holders(duty)
		require.Len(t, held, 1, duty)
		for _, s := range a.sidecars {
			require.NoError(t, s.leases.CheckToken(duty, token))
		}
	}
	t.Logf("the shared duty moved %s after the cut", moved)
}

// holders returns who may act under a duty now, and with which token.
func (a *apart) holders(duty string) (names []string, newest infra.Offset) {
	for _, s := range a.sidecars {
		if token, held := s.leases.Token(duty); held {
			names = append(names, s.name)
			newest = max(newest, token)
		}
	}
	return names, newest
}

func (a *apart) granted(token infra.Offset) bool {
	a.log.mu.Lock()
	defer a.log.mu.Unlock()
	return token <= a.log.stream(leaselog.DefaultSettings().Stream).end()
}
