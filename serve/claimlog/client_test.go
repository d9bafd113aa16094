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

func newClient(t *testing.T, log *memLog, configure func(*claimlog.Settings)) *claimlog.Client {
	s := claimlog.DefaultSettings()
	s.Partitions = 1
	s.ReadWait = 50 * time.Millisecond
	if configure != nil {
		configure(&s)
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

// newKey returns a UUIDv7 of the current time in the synctest bubble. uuid.NewV7
// keeps the last time process-wide, which would leak from one bubble into the
// next.
func newKey() string {
	key := uuid.New()
	ms := time.Now().UnixMilli()
	for i := range 6 {
		key[i] = byte(ms >> (40 - 8*i))
	}
	key[6] = key[6]&0x0f | 0x70
	return key.String()
}

func countingRun(runs *atomic.Int64, body string) claimlog.RunFunc {
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
	first, err := a.Run(t.Context(), request(key), countingRun(&runs, "booked"))
	require.NoError(t, err)
	require.False(t, first.Replayed)
	require.Eventually(t, func() bool {
		again, err := b.Run(t.Context(), request(key), countingRun(&runs, "twice"))
		return err == nil && again.Replayed && string(again.Body) == "booked" && again.Status == 201
	}, 5*time.Second, 10*time.Millisecond)
	other := request(key)
	other.BodyHash = "b"
	_, err = b.Run(t.Context(), other, countingRun(&runs, "twice"))
	require.True(t, errkind.Is(err, errkind.IdempotencyKeyReused), "%v", err)
	require.EqualValues(t, 1, runs.Load())
}

// Guards against a key that stays claimed after a refused connection: the
// attempt on another sidecar that follows a not_run reply has to run.
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
	_, err = b.Run(t.Context(), request(key), countingRun(&runs, "x"))
	require.NoError(t, err)
	require.EqualValues(t, 1, runs.Load())
}

// Guards against a call that hangs or runs while the log is unavailable, against
// a client that doesn't recover, and against a not_run reply although the state
// of the key can't be read.
func TestOutageRefusesQuicklyAndRecovers(t *testing.T) {
	synctest.Test(t, checkOutageRefusesQuicklyAndRecovers)
}

func checkOutageRefusesQuicklyAndRecovers(t *testing.T) {
	log := newMemLog(1)
	c := newClient(t, log, nil)
	var runs atomic.Int64
	log.setFaults(faults{outage: true})
	start := time.Now()
	_, err := c.Run(t.Context(), request(newKey()), countingRun(&runs, "x"))
	require.True(t, errkind.Is(err, errkind.OutcomeUnknown), "%v", err)
	require.Equal(t, errkind.Unknown, errkind.Of(err).Execution)
	require.ErrorContains(t, err, errkind.LogUnavailable.String())
	require.Less(t, time.Since(start), 2500*time.Millisecond)
	require.Zero(t, runs.Load())
	log.setFaults(faults{})
	require.Eventually(t, func() bool {
		_, err := c.Run(t.Context(), request(newKey()), countingRun(&runs, "x"))
		return err == nil
	}, 10*time.Second, 20*time.Millisecond)
}

// Guards against a run of a key whose earlier claim may have been trimmed from
// the log.
func TestTrimmedRecordsGiveUnknown(t *testing.T) { synctest.Test(t, checkTrimmedRecordsGiveUnknown) }

func checkTrimmedRecordsGiveUnknown(t *testing.T) {
	log := newMemLog(1)
	a := newClient(t, log, nil)
	var runs atomic.Int64
	key := newKey()
	_, err := a.Run(t.Context(), request(key), countingRun(&runs, "x"))
	require.NoError(t, err)
	log.trim()
	b := newClient(t, log, nil)
	_, err = b.Run(t.Context(), request(key), countingRun(&runs, "x"))
	require.Equal(t, errkind.Unknown, errkind.Of(err).Execution, "%v", err)
	require.EqualValues(t, 1, runs.Load())
}

// Guards against two runs of an identity, a not_run reply to a call that ran,
// and an altered answer while several sidecars share a faulty log.
func TestFaultyLog(t *testing.T) { synctest.Test(t, checkFaultyLog) }

func checkFaultyLog(t *testing.T) {
	seed := seeds.ForTest(t, 1)[0]
	t.Log(seeds.ReplayCommand(t, "serve/claimlog", seed))
	log := newMemLog(seed)
	log.setFaults(faults{
		answerLost: 0.15, appendLost: 0.1, lateAppend: 0.1, rateLimited: 0.15,
		lateDelay: 30 * time.Millisecond, appendDelay: time.Millisecond, readDelay: time.Millisecond,
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
			var requests sync.WaitGroup
			for range 3 {
				c, refused := clients[rng.IntN(len(clients))], rng.IntN(4) == 0
				r := request(key)
				delay := time.Duration(rng.IntN(40)) * time.Millisecond
				requests.Add(1)
				go func() {
					defer requests.Done()
					time.Sleep(delay)
					runAndCheck(t, c, r, refused, runs, &done, &notRun, &unknown)
				}()
			}
			requests.Wait()
			assert.LessOrEqual(t, runs.Load(), int64(1), "seed %d key %s", seed, key)
		}()
	}
	callers.Wait()
	t.Logf("done %d, not_run %d, unknown %d", done.Load(), notRun.Load(), unknown.Load())
	require.Positive(t, done.Load())
}

func runAndCheck(t *testing.T, c *claimlog.Client, r claim.Request, refused bool, runs, done, notRun, unknown *atomic.Int64) {
	var ran atomic.Bool
	answer, err := c.Run(t.Context(), r, func(context.Context) (claim.Answer, error) {
		if refused {
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

// Guards against InProgress for a caller that repeats a request right after its
// answer, and against a wait for a call that is still running.
func TestRepeatedRequestAwaitsOutcome(t *testing.T) {
	synctest.Test(t, checkRepeatedRequestAwaitsOutcome)
}

func checkRepeatedRequestAwaitsOutcome(t *testing.T) {
	log := newMemLog(1)
	log.setFaults(faults{appendDelay: 20 * time.Millisecond})
	c := newClient(t, log, nil)
	var runs atomic.Int64
	key := newKey()
	_, err := c.Run(t.Context(), request(key), countingRun(&runs, "booked"))
	require.NoError(t, err)
	start := time.Now()
	repeated, err := c.Run(t.Context(), request(key), countingRun(&runs, "twice"))
	require.NoError(t, err)
	require.True(t, repeated.Replayed)
	require.Equal(t, int64(1), runs.Load())
	t.Logf("the repeated request waited %s", time.Since(start))

	runningKey := newKey()
	finish := make(chan struct{})
	go func() {
		_, _ = c.Run(t.Context(), request(runningKey), func(context.Context) (claim.Answer, error) {
			<-finish
			return claim.Answer{Status: 201}, nil
		})
	}()
	time.Sleep(time.Second)
	start = time.Now()
	_, err = c.Run(t.Context(), request(runningKey), countingRun(&runs, "twice"))
	require.True(t, errkind.Is(err, errkind.InProgress), "%v", err)
	require.Zero(t, time.Since(start), "a request must not wait for a running call")
	log.setFaults(faults{outage: true})
	close(finish)
	synctest.Wait()
	start = time.Now()
	_, err = c.Run(t.Context(), request(runningKey), countingRun(&runs, "twice"))
	require.True(t, errkind.Is(err, errkind.InProgress), "%v", err)
	require.Equal(t, claimlog.DefaultSettings().OutcomeWait, time.Since(start))
	log.setFaults(faults{})
}

// Guards against a partition that counts as unavailable after a lost append
// answer although the record was read back. Calls were then refused without a
// claim, so until the hourly marker no append could show that the log works.
func TestLostAnswerDoesNotKeepPartitionUnavailable(t *testing.T) {
	synctest.Test(t, checkLostAnswerDoesNotKeepPartitionUnavailable)
}

func checkLostAnswerDoesNotKeepPartitionUnavailable(t *testing.T) {
	log := newMemLog(1)
	var unavailableAfter time.Duration
	c := newClient(t, log, func(s *claimlog.Settings) { unavailableAfter = s.UnavailableAfter })
	var runs atomic.Int64
	log.setFaults(faults{answerLost: 1})
	_, err := c.Run(t.Context(), request(newKey()), countingRun(&runs, "x"))
	require.NoError(t, err)
	time.Sleep(2 * unavailableAfter)
	log.setFaults(faults{})
	_, err = c.Run(t.Context(), request(newKey()), countingRun(&runs, "x"))
	require.NoError(t, err)
	require.EqualValues(t, 2, runs.Load())
}
