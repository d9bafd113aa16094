// Package tablesync keeps a table.Fold up to date from the log, or from peers
// while the log is down, and publishes an immutable view of it.
//
// Run is one goroutine and the only writer. All other methods of Syncer are
// safe for concurrent use.
package tablesync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/base/invariant"
	"github.com/filbertmux/filbertmux/config/table"
)

// Stats counts the work of a Syncer since it started.
type Stats struct {
	Table              table.Stats
	LogErrors          uint64
	PeerCatchUps       uint64
	PeerErrors         uint64
	SnapshotRestores   uint64
	SnapshotsPublished uint64
	SnapshotErrors     uint64
	// LogBehind counts answers of a log whose end is below the own offset.
	LogBehind uint64
}

// Syncer is a reader of the table.
type Syncer struct {
	log   infra.Log
	peers func() []Peer
	clock Clock
	opts  Options
	rng   *rand.Rand    // owned by Run
	chain chain         // owned by Run
	slack time.Duration // owned by Run; time that a log request may take
	atEnd bool          // owned by Run; the last read reached the end of the log

	view   atomic.Pointer[table.View]
	target atomic.Uint64 // highest offset that a peer has reported
	loaded atomic.Bool
	// appending is true while a snapshot is being appended.
	appending atomic.Bool
	// learned holds a token when a peer has reported a higher offset.
	learned chan struct{}

	mu      sync.Mutex // guards the fields below; written by Run only
	fold    *table.State
	recent  recent
	cached  cachedSnapshot
	changed chan struct{} // closed when the offset rises
	stats   Stats
}

// New returns a Syncer at offset 0. rng is owned by the Syncer afterwards.
func New(log infra.Log, peers func() []Peer, clock Clock, rng *rand.Rand, opts Options) (*Syncer, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	if peers == nil {
		peers = func() []Peer { return nil }
	}
	s := &Syncer{
		log: log, peers: peers, clock: clock, opts: opts, rng: rng,
		chain:   newChain(opts.Retention, rng),
		slack:   opts.RequestTimeout,
		fold:    table.NewState(),
		changed: make(chan struct{}),
		learned: make(chan struct{}, 1),
	}
	s.view.Store(s.fold.View())
	return s, nil
}

// View returns the table in force. It is empty until Loaded.
func (s *Syncer) View() *table.View { return s.view.Load() }

// Offset returns the offset of the view. It never decreases.
func (s *Syncer) Offset() infra.Offset { return s.View().Offset() }

// Loaded reports whether the table has been read to the end of the log once,
// or has been taken from a peer.
func (s *Syncer) Loaded() bool { return s.loaded.Load() }

// Stats returns the counters.
func (s *Syncer) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Table = s.fold.Stats()
	return stats
}

// Digest returns the offset and digest of the fold, for /statusz.
func (s *Syncer) Digest() (infra.Offset, table.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fold.Offset(), s.fold.Digest()
}

// Learn notes the table offset of a message. If the log does not deliver up to
// it soon, peers are asked.
func (s *Syncer) Learn(offset infra.Offset) {
	for {
		old := s.target.Load()
		if uint64(offset) <= old {
			return
		}
		if s.target.CompareAndSwap(old, uint64(offset)) {
			break
		}
	}
	select {
	case s.learned <- struct{}{}:
	default:
	}
}

// wants reports whether a peer has a higher offset, or has the table while this
// process has none.
func (s *Syncer) wants() bool { return !s.Loaded() || uint64(s.Offset()) < s.target.Load() }

// Wait returns when the view is at offset or above it, or when ctx ends.
func (s *Syncer) Wait(ctx context.Context, offset infra.Offset) error {
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if s.Offset() >= offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errkind.Wrap(errkind.WaitTimeout, ctx.Err(), "wait for table offset")
		}
	}
}

// Run reads until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	backoff := s.opts.MinBackoff
	for ctx.Err() == nil {
		if s.round(ctx) {
			backoff = s.opts.MinBackoff
			continue
		}
		s.sleep(ctx, backoff)
		backoff = min(2*backoff, s.opts.MaxBackoff)
	}
}

// sleep waits between half of d and d, so that readers do not return in step.
func (s *Syncer) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-s.clock.After(s.jitter(d)):
	case <-ctx.Done():
	}
}

// jitter returns a time between half of d and d.
func (s *Syncer) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rng.Int64N(int64(d/2)+1))
}

// round reads once from the log, and from peers if the log fails. It reports
// whether the log answered.
func (s *Syncer) round(ctx context.Context) bool {
	before := s.Offset()
	answered := s.readLog(ctx)
	if ctx.Err() != nil {
		return answered
	}
	if !answered {
		s.readPeers(ctx)
		return false
	}
	s.publishSnapshot(ctx)
	if s.Offset() > before && s.atEnd {
		s.sleep(ctx, s.opts.ReadPause)
	}
	return true
}

func (s *Syncer) readLog(ctx context.Context) bool {
	after := s.Offset()
	batch, err := s.poll(ctx, after)
	var trimmed *infra.TrimmedError
	if errors.As(err, &trimmed) {
		s.atEnd = false
		if s.Offset()+1 >= trimmed.Oldest {
			return true // a peer has delivered the trimmed records meanwhile
		}
		return s.startFromLog(ctx, trimmed.Oldest)
	}
	if err != nil {
		s.countLogError(ctx, err)
		return false
	}
	if batch.End < after {
		// The log lost records. Its next offsets are taken already, so they
		// can't be applied; the table in force stays.
		s.count(func(stats *Stats) { stats.LogBehind++ })
		s.opts.Logger.Error().Uint64("log_end", uint64(batch.End)).Uint64("table_offset", uint64(after)).Msg("log ends below the table offset")
		return false
	}
	if !s.apply(batch.Records) {
		return false
	}
	s.atEnd = s.Offset() >= batch.End
	if s.atEnd {
		s.loaded.Store(true)
	}
	return true
}

// logAnswer is the result of one read.
type logAnswer struct {
	batch infra.Batch
	err   error
}

// learnGrace is the time in which the log usually delivers the table to a new
// process, or an offset that a peer has reported. A message often overtakes the record by milliseconds.
const learnGrace = 500 * time.Millisecond

// poll reads from the log and asks peers while the answer is overdue or a peer
// is ahead. A connection may be silent for as long as the read may take. A new
// process does not let the log wait for records: a log that answers, even with
// none, then does so at once, and a silent one is told apart early.
func (s *Syncer) poll(ctx context.Context, after infra.Offset) (infra.Batch, error) {
	wait := s.opts.ReadWait
	if !s.Loaded() {
		wait = 0
	}
	answers := make(chan logAnswer, 1)
	timed, cancel := context.WithTimeout(ctx, wait+s.slack)
	defer cancel()
	go func() {
		batch, err := s.log.Read(timed, s.opts.Stream, after, s.opts.ReadLimit, wait)
		answers <- logAnswer{batch, err}
	}()
	answer := s.await(ctx, answers, wait)
	s.adaptSlack(answer.err, timed)
	return answer.batch, answer.err
}

func (s *Syncer) await(ctx context.Context, answers <-chan logAnswer, wait time.Duration) logAnswer {
	overdue := s.clock.After(wait + s.opts.RequestTimeout)
	var hurry <-chan time.Time // nil while no peer is known to have more
	if s.wants() {
		hurry = s.clock.After(learnGrace)
	}
	for {
		select {
		case answer := <-answers:
			return answer
		case <-ctx.Done():
			return logAnswer{err: ctx.Err()}
		case <-overdue:
			s.readPeers(ctx)
			overdue = s.clock.After(s.jitter(s.opts.MaxBackoff))
		case <-s.learned:
			if hurry == nil && s.wants() {
				hurry = s.clock.After(learnGrace)
			}
		case <-hurry:
			hurry = nil
			if s.wants() {
				s.readPeers(ctx)
			}
			if s.wants() {
				hurry = s.clock.After(s.jitter(s.opts.MaxBackoff))
			}
		}
	}
}

// read reads without waiting for new records.
func (s *Syncer) read(ctx context.Context, after infra.Offset) (infra.Batch, error) {
	timed, cancel := context.WithTimeout(ctx, s.slack)
	defer cancel()
	batch, err := s.log.Read(timed, s.opts.Stream, after, s.opts.ReadLimit, 0)
	s.adaptSlack(err, timed)
	return batch, err
}

// adaptSlack doubles the slack after a time-out and halves it after an answer.
func (s *Syncer) adaptSlack(err error, timed context.Context) {
	if err == nil {
		s.slack = max(s.slack/2, s.opts.RequestTimeout)
	} else if timed.Err() != nil {
		s.slack = min(2*s.slack, MaxRequestTimeout)
	}
}

func (s *Syncer) countLogError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	s.count(func(stats *Stats) { stats.LogErrors++ })
	s.opts.Logger.Warn().Err(err).Msg("table log read failed")
}

func (s *Syncer) count(add func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.stats)
}

// apply applies records in order and publishes the view. It reports false if
// a record was missing.
func (s *Syncer) apply(records []infra.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.fold.Offset()
	complete := true
	for _, r := range records {
		v := s.fold.Apply(r)
		if v.Outcome == table.OutcomeAlreadyApplied {
			continue
		}
		if v.Outcome == table.OutcomeGap {
			complete = false
			break
		}
		invariant.Check(v.Outcome != table.OutcomeSnapshotMismatch, "table snapshot at offset %d disagrees with the own fold", r.Offset)
		s.recent.add(r)
		s.follow(r)
	}
	if s.fold.Offset() > before {
		s.announce()
	}
	return complete
}

// follow keeps the snapshot chain up to date. s.mu is held.
func (s *Syncer) follow(r infra.Record) {
	s.chain.first(r.Time)
	covered, ok := table.SnapshotOffset(r.Data)
	if !ok {
		return
	}
	if next, held := s.recent.at(covered + 1); held {
		s.chain.restart(covered, next.Time)
	}
}

// adopt replaces the fold by one that is further on. s.mu is not held.
func (s *Syncer) adopt(f *table.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Offset() <= s.fold.Offset() {
		return false
	}
	s.fold = f
	s.recent.reset()
	s.announce()
	return true
}

// announce publishes the view and wakes the waiters. s.mu is held.
func (s *Syncer) announce() {
	old := s.Offset()
	invariant.Check(s.fold.Offset() >= old, "table offset falls from %d to %d", old, s.fold.Offset())
	s.view.Store(s.fold.View())
	close(s.changed)
	s.changed = make(chan struct{})
}
