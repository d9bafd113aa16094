// Package tablesync keeps a table.State up to date from the log, or from peers
// while the log is unavailable, and publishes an immutable view of it.
//
// Run is the only writer and must run in one goroutine. All other methods of
// Syncer are safe for concurrent use.
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
	// LogBehind counts responses of a log that ends below the table offset.
	LogBehind uint64
}

// Syncer is a reader of the table. It replicates the table from the log and from
// peers.
type Syncer struct {
	log            infra.Log
	peers          func() []Peer
	clock          Clock
	opts           Options
	rng            *rand.Rand       // owned by Run
	schedule       snapshotSchedule // owned by Run
	requestTimeout time.Duration    // owned by Run; time that a log request may take
	atEnd          bool             // owned by Run; the last read reached the end of the log

	view           atomic.Pointer[table.View]
	reportedOffset atomic.Uint64 // highest offset that a peer has reported
	loaded         atomic.Bool
	// appending is true while a snapshot is being appended.
	appending atomic.Bool
	// offsetReported signals that a peer has reported a higher offset. It has a
	// buffer of one.
	offsetReported chan struct{}

	mu            sync.Mutex // guards the fields below; written by Run only
	state         *table.State
	recent        recordBuffer
	snapshotCache cachedSnapshot
	changed       chan struct{} // closed and replaced when the offset increases
	stats         Stats
}

// New returns a Syncer at offset 0. The Syncer takes ownership of rng.
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
		schedule:       newSnapshotSchedule(opts.Retention, rng),
		requestTimeout: opts.RequestTimeout,
		state:          table.NewState(),
		changed:        make(chan struct{}),
		offsetReported: make(chan struct{}, 1),
	}
	s.view.Store(s.state.View())
	return s, nil
}

// View returns the table in force. It may be incomplete until Loaded.
func (s *Syncer) View() *table.View { return s.view.Load() }

// Offset returns the offset of the view. It never decreases.
func (s *Syncer) Offset() infra.Offset { return s.View().Offset() }

// Loaded reports whether the table has been read to the end of the log once or
// has been received from a peer.
func (s *Syncer) Loaded() bool { return s.loaded.Load() }

// Stats returns the counters of the Syncer and its table state.
func (s *Syncer) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Table = s.state.Stats()
	return stats
}

// Digest returns the offset and digest of the table state, for /statusz.
func (s *Syncer) Digest() (infra.Offset, table.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Offset(), s.state.Digest()
}

// Learn records the table offset that a peer has reported in a message. If the
// log does not deliver the records up to that offset soon, the Syncer requests them
// from peers.
func (s *Syncer) Learn(offset infra.Offset) {
	for {
		old := s.reportedOffset.Load()
		if uint64(offset) <= old {
			return
		}
		if s.reportedOffset.CompareAndSwap(old, uint64(offset)) {
			break
		}
	}
	select {
	case s.offsetReported <- struct{}{}:
	default:
	}
}

// needsCatchUp reports whether a peer is known to have a higher offset, or this
// process has not loaded the table yet.
func (s *Syncer) needsCatchUp() bool {
	return !s.Loaded() || uint64(s.Offset()) < s.reportedOffset.Load()
}

// Wait blocks until the view is at offset or above it, or ctx is done.
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

// Run reads the log until ctx is done.
func (s *Syncer) Run(ctx context.Context) {
	backoff := s.opts.MinBackoff
	for ctx.Err() == nil {
		if s.syncOnce(ctx) {
			backoff = s.opts.MinBackoff
			continue
		}
		s.sleep(ctx, backoff)
		backoff = min(2*backoff, s.opts.MaxBackoff)
	}
}

// sleep waits for a random time between half of d and d, so that the readers do
// not send their requests at the same time.
func (s *Syncer) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-s.clock.After(s.jitter(d)):
	case <-ctx.Done():
	}
}

// jitter returns a random duration between half of d and d.
func (s *Syncer) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rng.Int64N(int64(d/2)+1))
}

// syncOnce reads from the log once, and from peers if that fails. It reports
// whether the read from the log succeeded.
func (s *Syncer) syncOnce(ctx context.Context) bool {
	before := s.Offset()
	ok := s.readLog(ctx)
	if ctx.Err() != nil {
		return ok
	}
	if !ok {
		s.catchUpFromPeers(ctx)
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
	batch, err := s.pollLog(ctx, after)
	var trimmed *infra.TrimmedError
	if errors.As(err, &trimmed) {
		s.atEnd = false
		if s.Offset()+1 >= trimmed.Oldest {
			return true // a peer has sent the trimmed records in the meantime
		}
		return s.restoreFromLog(ctx, trimmed.Oldest)
	}
	if err != nil {
		s.recordLogError(ctx, err)
		return false
	}
	if batch.End < after {
		// The log has lost records. It will reuse offsets that have already been
		// applied here, so its next records can't be applied. The table in force
		// is kept.
		s.updateStats(func(stats *Stats) { stats.LogBehind++ })
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

// readResult is the result of one read from the log.
type readResult struct {
	batch infra.Batch
	err   error
}

// peerCatchUpDelay is how long a reader that is known to be behind waits for the
// log before it requests the records from peers. The log usually delivers the table
// to a new process in this time. It also delivers the records up to an offset that
// a peer has reported, because the peer's message often arrives only a few
// milliseconds before the record.
const peerCatchUpDelay = 500 * time.Millisecond

// pollLog reads from the log. While the response is overdue or a peer is ahead, it
// also requests records from peers, because on an unresponsive connection the read
// ends only at its timeout. A new process reads without waiting for new records: a
// working log then responds at once, even without records, so that an unresponsive
// one is detected early.
func (s *Syncer) pollLog(ctx context.Context, after infra.Offset) (infra.Batch, error) {
	wait := s.opts.ReadWait
	if !s.Loaded() {
		wait = 0
	}
	results := make(chan readResult, 1)
	requestCtx, cancel := context.WithTimeout(ctx, wait+s.requestTimeout)
	defer cancel()
	go func() {
		batch, err := s.log.Read(requestCtx, s.opts.Stream, after, s.opts.ReadLimit, wait)
		results <- readResult{batch, err}
	}()
	result := s.awaitRead(ctx, results, wait)
	s.adaptRequestTimeout(result.err, requestCtx)
	return result.batch, result.err
}

func (s *Syncer) awaitRead(ctx context.Context, results <-chan readResult, wait time.Duration) readResult {
	overdue := s.clock.After(wait + s.opts.RequestTimeout)
	var catchUpDue <-chan time.Time // nil while no peer is known to be ahead
	if s.needsCatchUp() {
		catchUpDue = s.clock.After(peerCatchUpDelay)
	}
	for {
		select {
		case result := <-results:
			return result
		case <-ctx.Done():
			return readResult{err: ctx.Err()}
		case <-overdue:
			s.catchUpFromPeers(ctx)
			overdue = s.clock.After(s.jitter(s.opts.MaxBackoff))
		case <-s.offsetReported:
			if catchUpDue == nil && s.needsCatchUp() {
				catchUpDue = s.clock.After(peerCatchUpDelay)
			}
		case <-catchUpDue:
			catchUpDue = nil
			if s.needsCatchUp() {
				s.catchUpFromPeers(ctx)
			}
			if s.needsCatchUp() {
				catchUpDue = s.clock.After(s.jitter(s.opts.MaxBackoff))
			}
		}
	}
}

// read reads without waiting for new records.
func (s *Syncer) read(ctx context.Context, after infra.Offset) (infra.Batch, error) {
	requestCtx, cancel := context.WithTimeout(ctx, s.requestTimeout)
	defer cancel()
	batch, err := s.log.Read(requestCtx, s.opts.Stream, after, s.opts.ReadLimit, 0)
	s.adaptRequestTimeout(err, requestCtx)
	return batch, err
}

// adaptRequestTimeout doubles the request timeout after an expiry and halves it
// after a response.
func (s *Syncer) adaptRequestTimeout(err error, requestCtx context.Context) {
	if err == nil {
		s.requestTimeout = max(s.requestTimeout/2, s.opts.RequestTimeout)
	} else if requestCtx.Err() != nil {
		s.requestTimeout = min(2*s.requestTimeout, MaxRequestTimeout)
	}
}

func (s *Syncer) recordLogError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	s.updateStats(func(stats *Stats) { stats.LogErrors++ })
	s.opts.Logger.Warn().Err(err).Msg("reading the table log failed")
}

func (s *Syncer) updateStats(update func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.stats)
}

// apply applies records in order and publishes the view. It returns false if a
// record is missing.
func (s *Syncer) apply(records []infra.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state.Offset()
	complete := true
	for _, r := range records {
		v := s.state.Apply(r)
		if v.Outcome == table.OutcomeAlreadyApplied {
			continue
		}
		if v.Outcome == table.OutcomeGap {
			complete = false
			break
		}
		invariant.Check(v.Outcome != table.OutcomeSnapshotMismatch, "table snapshot at offset %d does not match the local state", r.Offset)
		s.recent.add(r)
		s.updateSchedule(r)
	}
	if s.state.Offset() > before {
		s.publishView()
	}
	return complete
}

// updateSchedule updates the snapshot schedule for an applied record. The caller
// holds s.mu.
func (s *Syncer) updateSchedule(r infra.Record) {
	s.schedule.start(r.Time)
	covered, ok := table.SnapshotOffset(r.Data)
	if !ok {
		return
	}
	if next, held := s.recent.at(covered + 1); held {
		s.schedule.advance(covered, next.Time)
	}
}

// replaceState replaces the state by one with a higher offset. It returns false
// if the offset is not higher. The caller must not hold s.mu.
func (s *Syncer) replaceState(state *table.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state.Offset() <= s.state.Offset() {
		return false
	}
	s.state = state
	s.recent.reset()
	s.publishView()
	return true
}

// publishView publishes the current view and wakes the callers of Wait. The
// caller holds s.mu.
func (s *Syncer) publishView() {
	old := s.Offset()
	invariant.Check(s.state.Offset() >= old, "table offset decreases from %d to %d", old, s.state.Offset())
	s.view.Store(s.state.View())
	close(s.changed)
	s.changed = make(chan struct{})
}
