package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/platform"
)

const (
	// overlapInterval is the mean time after which a call to a store that has failed before
	// is followed by another one, although it has got no response yet.
	overlapInterval = 450 * time.Millisecond
	// rereadDelay is the time after which the newest records are read once more when the
	// store has come back from an older copy. What was lost is written again meanwhile.
	rereadDelay = 6 * time.Second
	// minBackoff and maxBackoff limit the exponential backoff after a failed
	// call. It is jittered, because all instances call the store as soon as it is
	// available again.
	minBackoff = 60 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// maxBackoffSteps is the number of steps after which the backoff has reached maxBackoff.
	maxBackoffSteps = 8
)

// topicFollower reads a keyed topic: first the newest record of each key, then
// the records that follow.
type topicFollower struct {
	store *platform.StoreClient
	topic string
	log   zerolog.Logger
	next  int64
	// era is that of next, or 0.
	era platform.Era
	// snapshot makes the next read start over with the newest record of each key.
	snapshot bool
	failures int
	// trims counts the reads that failed because their records were trimmed, since the last
	// successful one that wasn't a snapshot.
	trims int
	// failingSince is the time of the first of the consecutive failures, and lastFailure when
	// the latest call before the next successful one was sent.
	failingSince time.Time
	lastFailure  time.Time
	// startedOver means that the store has started over since the last successful read.
	startedOver bool
	// rereadAt is when the newest records are read once more after that, or zero.
	rereadAt time.Time
}

func newTopicFollower(store *platform.StoreClient, topic string, log zerolog.Logger) *topicFollower {
	return &topicFollower{store: store, topic: topic, snapshot: true, log: log.With().Str("topic", topic).Logger()}
}

// topicUpdate is the result of one read.
type topicUpdate struct {
	records []platform.KeyedRecord
	// snapshot means that records holds all keys, not only the changed ones.
	snapshot bool
	// next is the offset at which the next read begins, in this era of the store.
	next int64
	era  platform.Era
	// complete means that the topic had no further records when the read was sent.
	complete bool
	// sent and received are the times of the request and of the response.
	sent     time.Time
	received time.Time
	// recovered means that this is the first successful read after a failure, or after the
	// store has started over. lastFailure is when the latest call that failed was sent, or
	// zero.
	recovered   bool
	startedOver bool
	lastFailure time.Time
}

// topicRead says what a read asks for.
type topicRead struct {
	next     int64
	era      platform.Era
	snapshot bool
	// pollTimeout is how long the store waits for new records.
	pollTimeout time.Duration
	sent        time.Time
}

func (f *topicFollower) newRequest(pollTimeout time.Duration) topicRead {
	if !f.rereadAt.IsZero() && clock.Now().After(f.rereadAt) {
		f.rereadAt, f.snapshot = time.Time{}, true
	}
	return topicRead{next: f.next, era: f.era, snapshot: f.snapshot, pollTimeout: pollTimeout, sent: clock.Now()}
}

// read performs one read, which waits up to pollTimeout for new records. After an
// error the caller must wait for the duration that backoff returns.
func (f *topicFollower) read(ctx context.Context, pollTimeout time.Duration) (topicUpdate, error) {
	r := f.newRequest(pollTimeout)
	u, err := f.fetch(ctx, r)
	if err != nil {
		f.recordFailure(r.sent, err)
		return topicUpdate{}, err
	}
	return f.recordSuccess(u), nil
}

// readResult is the result of a read.
type readResult struct {
	request topicRead
	update  topicUpdate
	err     error
}

// readUntilResponse reads until a read succeeds. While the store is lost, it doesn't wait for
// the timeout of a call before it sends the next one, so that it notices soon that the store
// responds again. It returns false if ctx has ended.
func (f *topicFollower) readUntilResponse(ctx context.Context) (topicUpdate, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan readResult)
	var pending []topicRead
	var next <-chan time.Time
	start := func() {
		r := f.newRequest(0)
		pending = append(pending, r)
		go f.fetchAsync(ctx, r, results)
		next = nil
		if f.failures > 0 {
			next = time.After(jitter(overlapInterval))
		}
	}
	start()
	for {
		select {
		case r := <-results:
			pending = slices.DeleteFunc(pending, func(p topicRead) bool { return p == r.request })
			if r.err == nil {
				f.recordUnanswered(pending, r.request.sent)
				return f.recordSuccess(r.update), true
			}
			f.recordFailure(r.request.sent, r.err)
			if len(pending) == 0 {
				next = time.After(f.backoff())
			}
		case <-next:
			start()
		case <-ctx.Done():
			return topicUpdate{}, false
		}
	}
}

// fetchAsync sends the result of a read to results, unless ctx ends before.
func (f *topicFollower) fetchAsync(ctx context.Context, r topicRead, results chan<- readResult) {
	u, err := f.fetch(ctx, r)
	select {
	case results <- readResult{request: r, update: u, err: err}:
	case <-ctx.Done():
	}
}

// fetch calls the store. It changes nothing in f.
func (f *topicFollower) fetch(ctx context.Context, r topicRead) (topicUpdate, error) {
	u := topicUpdate{sent: r.sent, snapshot: r.snapshot}
	var err error
	if r.snapshot {
		u.complete = true
		var s platform.Snapshot
		s, err = f.store.ReadSnapshot(ctx, f.topic)
		u.records, u.next, u.era = s.Records, s.Next, s.Era
	} else {
		var b platform.KeyedBatch
		b, err = f.store.ReadKeyedBatch(ctx, f.topic, r.next, r.pollTimeout)
		u.records, u.next, u.complete, u.era = b.Records, b.Next, len(b.Records) == 0 || b.Next >= b.EndOffset, b.Era
	}
	u.received = clock.Now()
	if err == nil && !r.snapshot && r.era.Differs(u.era) {
		err = errkind.Wrap(errkind.RecordsTrimmed, platform.ErrStartedOver, "read "+f.topic)
	}
	return u, err
}

// recordUnanswered records the calls that were sent before a successful one and have no
// response yet. The store was out of reach for them.
func (f *topicFollower) recordUnanswered(pending []topicRead, before time.Time) {
	for _, r := range pending {
		if r.sent.Before(before) && r.sent.After(f.lastFailure) {
			f.lastFailure = r.sent
		}
	}
}

// recordSuccess records a successful read and returns it with what happened before it.
func (f *topicFollower) recordSuccess(u topicUpdate) topicUpdate {
	f.startedOver = f.startedOver || f.era.Differs(u.era)
	u.lastFailure, u.startedOver = f.lastFailure, f.startedOver
	u.recovered = f.recordRecovery()
	if u.startedOver {
		f.log.Warn().Int64("offset", f.next).Int64("next", u.next).Int64("era", int64(f.era)).Int64("new_era", int64(u.era)).
			Msg("the store has come back from an older copy")
		f.rereadAt = u.received.Add(rereadDelay)
	}
	if !u.snapshot {
		f.trims = 0
	}
	f.next, f.snapshot = u.next, false
	if u.era != 0 {
		f.era = u.era
	}
	u.era = f.era
	return u
}

func (f *topicFollower) recordFailure(sent time.Time, err error) {
	if errkind.Is(err, errkind.RecordsTrimmed) {
		f.snapshot = true
		f.trims++
		f.startedOver = f.startedOver || errors.Is(err, platform.ErrStartedOver)
		f.log.Warn().Int64("offset", f.next).Bool("started_over", f.startedOver).
			Msg("records were trimmed; reading the newest record of each key")
		return
	}
	f.store.CloseIdleConnections()
	f.lastFailure = sent
	f.failures++
	if f.failures == 1 {
		f.failingSince = clock.Now()
		f.log.Warn().Err(err).Int64("offset", f.next).Msg("store lost")
	}
}

func (f *topicFollower) recordRecovery() bool {
	startedOver := f.startedOver
	f.startedOver = false
	f.lastFailure = time.Time{}
	if f.failures == 0 {
		return startedOver
	}
	f.log.Info().Int("failures", f.failures).Dur("lost_ms", clock.Now().Sub(f.failingSince)).
		Int64("offset", f.next).Msg("store regained")
	f.failures = 0
	return true
}

// backoff returns how long to wait after a failed read. Records that were trimmed are no reason
// to wait, unless the store says so again and again.
func (f *topicFollower) backoff() time.Duration {
	failures := max(f.failures, f.trims-1)
	if failures == 0 {
		return 0
	}
	return jitter(min(minBackoff<<min(failures-1, maxBackoffSteps), maxBackoff))
}

// jitter returns a random duration between half and one and a half times d.
func jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(d))
}
