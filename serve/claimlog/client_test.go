package claimlog_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/internal/seeds"
	"github.com/filbertmux/filbertmux/serve/claim"
	"github.com/filbertmux/filbertmux/serve/claimlog"
)

func newClient(t *testing.T, log *memLog, change func(*claimlog.Settings)) *claimlog.Client {
	s := claimlog.DefaultSettings()
	s.Partitions = 1
	s.ReadWait = 50 * time.Millisecond
	if change != nil {
		change(&s)
	}
	c := claimlog.New(log, uuid.NewString(), time.Now, s)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_ = c.Shutdown(ctx)
	})
	return c
}

func request(key string) claim.Request {
	return claim.Request{
		Organisation: "org", Service: "order-book", Key: key, BodyHash: "a",
		Deadline: time.Now().Add(20 * time.Second),
	}
}

// newKey returns a UUIDv7 of the bubble's present time. uuid.NewV7 keeps a
// process-wide last time, which would leak from one bubble into the next.
func newKey() string {
	key := uuid.New()
	ms := time.Now().UnixMilli()
	for i := range 6 {
		key[i] = byte(ms >> (40 - 8*i))
	}
	key[6] = key[6]&0x0f | 0x70
	return key.String()
}

func answering(runs *atomic.Int64, body string) claimlog.RunFunc {
	return func(context.Context) (claim.Answer, error) {
		runs.Add(1)
		return claim.Answer{Status: 201, Body: []byte(body)}, nil
	}
}

// Guards against a second run of a key through another sidecar, and against a
// lost or altered answer.
func TestSecondSidecarReplaysAnswer(t *testing.T) { synctest.Test(t, checkSecondSidecarReplaysAnswer) }

func checkSecondSidecarReplaysAnswer(t *testing.T) {
	log := newMemLog(1)
	a, b := newClient(t, log, nil), newClient(t, log, nil)
	var runs atomic.Int64
	key := newKey()
	first, err := a.Run(t.Context(), request(key), answering(&runs, "booked"))
	require.NoError(t, err)
	require.False(t, first.Replayed)
	require.Eventually(t, func() bool {
		again, err := b.Run(t.Context(), request(key), answering(&runs, "twice"))
		return err == nil && again.Replayed && string(again.Body) == "booked" && again.Status == 201
	}, 5*time.Second, 10*time.Millisecond)
	other := request(key)
	other.BodyHash = "b"
	_, err = b.Run(t.Context(), other, answering(&runs, "twice"))
	require.True(t, errkind.Is(err, errkind.IdempotencyKeyReused), "%v", err)
	require.EqualValues(t, 1, runs.Load())
}

// Guards against a held key after a refused connection: the attempt elsewhere
// that follows a proved not_run has to run.
func TestRefusedConnectionFreesKey(t *testing.T) { synctest.Test(t, checkRefusedConnectionFreesKey) }

func checkRefusedConnectionFreesKey(t *testing.T) {
	log := newMemLog(1)
	a, b := newClient(t, log, nil), newClient(t, log, nil)
	key := newKey()
	_, err := a.Run(t.Context(), request(key), func(context.Context) (claim.Answer, error) {
		return claim.Answer{}, errkind.New(errkind.BackendUnavailable, "connection refused")
	})
	require.Equal(t, errkind.NotRun, errkind.Of(err).Execution)
	var runs atomic.Int64
	_, err = b.Run(t.Context(), request(key), answering(&runs, "x"))
	require.NoError(t, err)
	require.EqualValues(t, 1, runs.Load())
}

// Guards against a call that hangs or runs while the log is down, against a
// client that doesn't recover, and against not_run without a view of the log.
func TestOutageRefusesQuicklyAndRecovers(t *testing.T) {
	synctest.Test(t, checkOutageRefusesQuicklyAndRecovers)
}

func checkOutageRefusesQuicklyAndRecovers(t *testing.T) {
	log := newMemLog(1)
	c := newClient(t, log, nil)
	var runs atomic.Int64
	log.set(faults{outage: true})
	start := time.Now()
	_, err := c.Run(t.Context(), request(newKey()), answering(&runs, "x"))
	require.True(t, errkind.Is(err, errkind.OutcomeUnknown), "%v", err)
	require.Equal(t, errkind.Unknown, errkind.Of(err).Execution)
	require.ErrorContains(t, err, errkind.LogUnavailable.String())
	require.Less(t, time.Since(start), 2500*time.Millisecond)
	require.Zero(t, runs.Load())
	log.set(faults{})
	require.Eventually(t, func() bool {
		_, err := c.Run(t.Context(), request(newKey()), answering(&runs, "x"))
		return err == nil
	}, 10*time.Second, 20*time.Millisecond)
}

// Guards against a run of a key whose earlier claim may have been trimmed.
func TestTrimmedRecordsGiveUnknown(t *testing.T) { synctest.Test(t, checkTrimmedRecordsGiveUnknown) }

func checkTrimmedRecordsGiveUnknown(t *testing.T) {
	log := newMemLog(1)
	a := newClient(t, log, nil)
	var runs atomic.Int64
	key := newKey()
	_, err := a.Run(t.Context(), request(key), answering(&runs, "x"))
	require.NoError(t, err)
	log.trim()
	b := newClient(t, log, nil)
	_, err = b.Run(t.Context(), request(key), answering(&runs, "x"))
	require.Equal(t, errkind.Unknown, errkind.Of(err).Execution, "%v", err)
	require.EqualValues(t, 1, runs.Load())
}

// Guards against two runs of an identity, a not_run answer to a call that ran,
// and an altered answer while several sidecars share a faulty log.
func TestFaultyLog(t *testing.T) { synctest.Test(t, checkFaultyLog) }

func checkFaultyLog(t *testing.T) {
	seed := seeds.ForTest(t, 1)[0]
	t.Log(seeds.ReplayCommand(t, "serve/claimlog", seed))
	log := newMemLog(seed)
	log.set(faults{
		lostAfter: 0.15, lostBefore: 0.1, late: 0.1, rateLimited: 0.15,
		lateBy: 30 * time.Millisecond, appendDelay: time.Millisecond, readDelay: time.Millisecond,
	})
	clients := make([]*claimlog.Client, 3)
	for i := range clients {
		clients[i] = newClient(t, log, func(s *claimlog.Settings) { s.Claim.DecisionTimeout = 300 * time.Millisecond })
	}
	var callers sync.WaitGroup
	var done, notRun, unknown atomic.Int64
	for n := range 60 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			rng := rand.New(rand.NewPCG(seed, uint64(n)))
			key, runs := newKey(), new(atomic.Int64)
			var sends sync.WaitGroup
			for range 3 {
				c, refuse := clients[rng.IntN(len(clients))], rng.IntN(4) == 0
				r := request(key)
				pause := time.Duration(rng.IntN(40)) * time.Millisecond
				sends.Add(1)
				go func() {
					defer sends.Done()
					time.Sleep(pause)
					send(t, c, r, refuse, runs, &done, &notRun, &unknown)
				}()
			}
			sends.Wait()
			assert.LessOrEqual(t, runs.Load(), int64(1), "seed %d key %s", seed, key)
		}()
	}
	callers.Wait()
	t.Logf("done %d, not_run %d, unknown %d", done.Load(), notRun.Load(), unknown.Load())
	require.Positive(t, done.Load())
}

func send(t *testing.T, c *claimlog.Client, r claim.Request, refuse bool, runs, done, notRun, unknown *atomic.Int64) {
	var ran atomic.Bool
	answer, err := c.Run(t.Context(), r, func(context.Context) (claim.Answer, error) {
		if refuse {
			return claim.Answer{}, errkind.New(errkind.BackendUnavailable, "connection refused")
		}
		ran.Store(true)
		return claim.Answer{Status: 200, Body: fmt.Appendf(nil, "%s run %d", r.Key, runs.Add(1))}, nil
	})
	switch {
	case err == nil:
		done.Add(1)
		assert.Equal(t, r.Key+" run 1", string(answer.Body))
	case errkind.Of(err).Execution == errkind.NotRun:
		notRun.Add(1)
		assert.False(t, ran.Load())
	default:
		unknown.Add(1)
	}
}

// Guards against "in progress" for a caller that sends a booking again right
// after its answer, and against a wait for a call that still runs.
func TestSecondSendAwaitsTheOutcome(t *testing.T) { synctest.Test(t, checkSecondSendAwaitsTheOutcome) }

func checkSecondSendAwaitsTheOutcome(t *testing.T) {
	log := newMemLog(1)
	log.set(faults{appendDelay: 20 * time.Millisecond})
	c := newClient(t, log, nil)
	var runs atomic.Int64
	key := newKey()
	_, err := c.Run(t.Context(), request(key), answering(&runs, "booked"))
	require.NoError(t, err)
	start := time.Now()
	again, err := c.Run(t.Context(), request(key), answering(&runs, "twice"))
	require.NoError(t, err)
	require.True(t, again.Replayed)
	require.Equal(t, int64(1), runs.Load())
	t.Logf("the second send waited %s", time.Since(start))

	held := newKey()
	finish := make(chan struct{})
	go func() {
		_, _ = c.Run(t.Context(), request(held), func(context.Context) (claim.Answer, error) {
			<-finish
			return claim.Answer{Status: 201}, nil
		})
	}()
	time.Sleep(time.Second)
	start = time.Now()
	_, err = c.Run(t.Context(), request(held), answering(&runs, "twice"))
	require.True(t, errkind.Is(err, errkind.InProgress), "%v", err)
	require.Zero(t, time.Since(start), "a call that runs is not waited for")
	log.set(faults{outage: true})
	close(finish)
	synctest.Wait()
	start = time.Now()
	_, err = c.Run(t.Context(), request(held), answering(&runs, "twice"))
	require.True(t, errkind.Is(err, errkind.InProgress), "%v", err)
	require.Equal(t, claimlog.DefaultSettings().OutcomeWait, time.Since(start))
	log.set(faults{})
}

// Guards against a partition that counts as down after a lost append answer
// although its record was read back. Calls were then refused without a claim,
// so no append could show that the log works, until the hourly marker.
func TestLostAnswerDoesNotKeepPartitionDown(t *testing.T) {
	synctest.Test(t, checkLostAnswerDoesNotKeepPartitionDown)
}

func checkLostAnswerDoesNotKeepPartitionDown(t *testing.T) {
	log := newMemLog(1)
	var downAfter time.Duration
	c := newClient(t, log, func(s *claimlog.Settings) { downAfter = s.UnavailableAfter })
	var runs atomic.Int64
	log.set(faults{lostAfter: 1})
	_, err := c.Run(t.Context(), request(newKey()), answering(&runs, "x"))
	require.NoError(t, err)
	time.Sleep(2 * downAfter)
	log.set(faults{})
	_, err = c.Run(t.Context(), request(newKey()), answering(&runs, "x"))
	require.NoError(t, err)
	require.EqualValues(t, 2, runs.Load())
}
