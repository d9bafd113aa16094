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

// Guards against three failures in a region partition of one hour: a reader
// whose table goes back, a reader that cannot start in the region without the
// log, and a reader that is not at the newest offset 7 s after the partition. In
// the second run the log is down for the hour, too.
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
				// Each new process, also in the region without the log, reaches the
				// newest offset that a peer in its region had.
				require.GreaterOrEqual(t, r.Starts.Count, 16+30)
				require.LessOrEqual(t, r.Starts.Worst, PropagationBound)
			})
		})
	}
}

// sidecar holds the claim and lease clients of one process.
type sidecar struct {
	name   string
	region int
	link   *Link
	claims *claimlog.Client
	leases *leaselog.Client
}

// partitionTest has two regions with two sidecars of one service each.
type partitionTest struct {
	t        *testing.T
	log      *Log
	sidecars []*sidecar

	mu   sync.Mutex
	runs map[string]int
}

const service = "order-book"

func newPartitionTest(t *testing.T) *partitionTest {
	a := &partitionTest{t: t, log: NewLog(LogConfig{Retention: 24 * time.Hour}, rand.New(rand.NewPCG(1, 1))), runs: make(map[string]int)}
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

func (a *partitionTest) close() {
	ctx, cancel := context.WithTimeout(a.t.Context(), 10*time.Second)
	defer cancel()
	for _, s := range a.sidecars {
		assert.NoError(a.t, s.claims.Shutdown(ctx))
		s.leases.Close(ctx)
	}
}

// setPartition starts or ends a partition between region 1 and the log, and
// between region 0 and the log as well if bothSeparated is true.
func (a *partitionTest) setPartition(on, bothSeparated bool) {
	mode := Pass
	if on {
		mode = Drop
	}
	for _, s := range a.sidecars {
		if s.region != logRegion || bothSeparated {
			s.link.SetMode(mode)
		}
	}
}

// newKey returns a UUIDv7 with the current virtual time.
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

// send sends a booking to a sidecar. Its execution takes the given time.
func (a *partitionTest) send(s *sidecar, key string, takes time.Duration) error {
	r := claim.Request{
		Organisation: "org", Service: service, Key: key, BodyHash: "a",
		Deadline: time.Now().Add(30 * time.Second),
	}
	_, err := s.claims.Run(a.t.Context(), r, func(context.Context) (claim.Answer, error) {
		assert.True(a.t, a.hasClaim(s.name, key), "key %s runs on %s without a claim in the log", key, s.name)
		a.mu.Lock()
		a.runs[key]++
		a.mu.Unlock()
		time.Sleep(takes)
		return claim.Answer{Status: 201, Body: []byte(key)}, nil
	})
	return err
}

// hasClaim reports whether the log contains a claim of the sidecar for the key.
func (a *partitionTest) hasClaim(incarnation, key string) bool {
	batch, err := a.log.read(a.t.Context(), claim.StreamName(service, 0), 0, 1<<30, 0, nil)
	require.NoError(a.t, err)
	for _, r := range batch.Records {
		if bytes.Contains(r.Data, []byte(key)) && bytes.Contains(r.Data, []byte(incarnation)) {
			return true
		}
	}
	return false
}

func (a *partitionTest) runCount(key string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runs[key]
}

// Guards against a booking that runs without a claim or twice, or is refused as
// not_run in a region that cannot reach the log, before, during and after a
// region partition.
func TestRegionsApartBookings(t *testing.T) {
	for name, both := range map[string]bool{"log reachable from one": false, "log reachable from none": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkBookings(t, both) })
		})
	}
}

func checkBookings(t *testing.T, bothSeparated bool) {
	a := newPartitionTest(t)
	defer a.close()
	rng := rand.New(rand.NewPCG(1, 2))
	time.Sleep(10 * time.Second)
	answeredKey := newKey(rng)
	require.NoError(t, a.send(a.sidecars[2], answeredKey, 0))

	// These bookings are running or being claimed when the partition begins.
	var inProgress []string
	var sends sync.WaitGroup
	for range 40 {
		key := newKey(rng)
		inProgress = append(inProgress, key)
		s, takes := a.sidecars[2+rng.IntN(2)], time.Duration(rng.IntN(3000))*time.Millisecond
		sends.Go(func() { _ = a.send(s, key, takes) })
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
	}
	a.setPartition(true, bothSeparated)
	sends.Wait()
	time.Sleep(5 * time.Second)
	var refusedKeys []string
	for range 180 {
		key, s := newKey(rng), a.sidecars[2+rng.IntN(2)]
		err := a.send(s, key, 0)
		require.Equal(t, errkind.Unknown, errkind.Of(err).Execution, "%v", err)
		require.Zero(t, a.runCount(key))
		refusedKeys = append(refusedKeys, key)
		err = a.send(a.sidecars[rng.IntN(2)], newKey(rng), 0)
		if bothSeparated {
			require.Equal(t, errkind.Unknown, errkind.Of(err).Execution, "%v", err)
		} else {
			require.NoError(t, err, "the region with the log continues to serve")
		}
		// A caller repeats a refused or interrupted booking in the other region.
		again := refusedKeys[rng.IntN(len(refusedKeys))]
		if rng.IntN(2) == 0 {
			again = inProgress[rng.IntN(len(inProgress))]
		}
		_ = a.send(a.sidecars[rng.IntN(2)], again, 0)
		time.Sleep(15 * time.Second)
	}
	a.setPartition(false, bothSeparated)
	time.Sleep(PropagationBound)
	answered := 0
	for _, key := range append(inProgress, refusedKeys...) {
		for _, s := range a.sidecars {
			if a.send(s, key, 0) == nil {
				answered++
			}
			require.LessOrEqual(t, a.runCount(key), 1, "key %s", key)
		}
	}
	t.Logf("%d records in the stream of claims", a.log.stream(claim.StreamName(service, 0)).end())
	require.NoError(t, a.send(a.sidecars[0], answeredKey, 0), "an answer from before the partition is replayed")
	require.Equal(t, 1, a.runCount(answeredKey))
	for _, key := range refusedKeys {
		require.Equal(t, 1, a.runCount(key), "a refused booking runs once when it is sent again")
	}
	t.Logf("%d keys were in progress and %d refused in the separated region; %d requests were answered afterwards", len(inProgress), len(refusedKeys), answered)
}

// Guards against two processes that hold one lease, and against a lease that
// moves without a record in the log, during a region partition.
func TestRegionsApartLeases(t *testing.T) {
	for name, both := range map[string]bool{"log reachable from one": false, "log reachable from none": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkLeases(t, both) })
		})
	}
}

func checkLeases(t *testing.T, bothSeparated bool) {
	const shared, remote = "group-shared", "group-remote" // members in both regions; in the separated region only
	a := newPartitionTest(t)
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
	// A holder may have obtained its token just before the partition and use it
	// late.
	oldToken := before[shared]
	a.setPartition(true, bothSeparated)
	takeoverDelay, takenOver := time.Duration(0), false
	for began := time.Now(); time.Since(began) < time.Hour; time.Sleep(time.Second) {
		for _, duty := range []string{shared, remote} {
			held, newest := a.holders(duty)
			require.LessOrEqual(t, len(held), 1, "%s is held by %v", duty, held)
			if len(held) == 1 && newest != before[duty] {
				require.True(t, a.isLogged(newest), "token %d is not the offset of a log record", newest)
				require.Equal(t, shared, duty)
				require.False(t, bothSeparated)
				if !takenOver {
					takeoverDelay, takenOver = time.Since(began), true
				}
			}
		}
		if takenOver {
			require.Error(t, a.sidecars[0].leases.CheckToken(shared, oldToken), "an old token is accepted in the region with the log")
		}
		if time.Since(began) > 2*time.Minute {
			_, held := a.sidecars[2].leases.Token(remote)
			require.False(t, held)
			require.True(t, errkind.Is(a.sidecars[3].leases.CheckToken(remote, before[remote]), errkind.LogUnavailable))
			require.True(t, errkind.Is(a.sidecars[3].leases.CheckToken(shared, oldToken), errkind.LogUnavailable))
		}
	}
	require.Equal(t, !bothSeparated, takenOver, "a member that reaches the log takes over the shared lease")
	a.setPartition(false, bothSeparated)
	time.Sleep(2 * time.Minute)
	for _, duty := range []string{shared, remote} {
		held, token := a.holders(duty)
		require.Len(t, held, 1, duty)
		for _, s := range a.sidecars {
			require.NoError(t, s.leases.CheckToken(duty, token))
		}
	}
	t.Logf("the shared lease moved %s after the partition", takeoverDelay)
}

// holders returns the processes that hold the lease of a duty now, and the
// newest of their tokens.
func (a *partitionTest) holders(duty string) (names []string, newest infra.Offset) {
	for _, s := range a.sidecars {
		if token, held := s.leases.Token(duty); held {
			names = append(names, s.name)
			newest = max(newest, token)
		}
	}
	return names, newest
}

func (a *partitionTest) isLogged(token infra.Offset) bool {
	a.log.mu.Lock()
	defer a.log.mu.Unlock()
	return token <= a.log.stream(leaselog.DefaultSettings().Stream).end()
}
