package claimlog

import (
	"context"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/serve/claim"
)

// queuedEntry is an entry that waits to be appended. call is nil for a marker and
// for the abandonment of a claim whose call has ended.
type queuedEntry struct {
	entry  claim.Entry
	call   *activeCall
	marker bool
}

// partition is one claim stream. mu guards the Index, the registered calls and
// the health of the log.
type partition struct {
	client *Client
	stream string
	queue  chan queuedEntry

	mu    sync.Mutex
	index *claim.Index
	calls map[uint64]*activeCall
	// pendingRecordID is the id of the record that the writer is appending;
	// pendingRead is closed when the record is read from the log.
	pendingRecordID string
	pendingRead     chan struct{}
	// unwritten counts the entries that are queued or being appended.
	unwritten int
	// changed is closed and replaced whenever records are applied.
	changed            chan struct{}
	allWritten         *sync.Cond
	appendFailingSince time.Time // zero while appends work
	readFailingSince   time.Time // zero while reads work
}

func newPartition(c *Client, stream string) *partition {
	p := &partition{
		client: c, stream: stream,
		queue: make(chan queuedEntry, c.settings.QueueLength),
		index: claim.NewIndex(c.settings.Claim),
		calls: make(map[uint64]*activeCall), changed: make(chan struct{}),
	}
	p.allWritten = sync.NewCond(&p.mu)
	return p
}

// register adds a call. It returns the view of its identity and whether the log
// has been failing for longer than UnavailableAfter.
func (p *partition) register(a *activeCall) (claim.View, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[a.call.ID().Seq] = a
	return p.index.View(a.identity, a.bodyHash), p.unavailable()
}

// unregister removes a call that has ended. If its claim won after the call had
// ended, the claim is abandoned.
func (p *partition) unregister(a *activeCall) {
	p.mu.Lock()
	a.ended = true
	delete(p.calls, a.call.ID().Seq)
	p.mu.Unlock()
	select {
	case d := <-a.decision:
		if d.Won {
			p.enqueueOutcome(claim.AbandonedEntry(d))
		}
	default:
	}
}

// awaitOutcome waits while the identity is held by a call to which this process
// has already replied, but whose outcome was not read back yet. A caller that sends
// a duplicate right after the reply then gets the answer instead of InProgress.
func (p *partition) awaitOutcome(ctx context.Context, id claim.Identity, bodyHash string) {
	timer := time.NewTimer(p.client.settings.OutcomeWait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		pending := p.outcomePending(p.index.View(id, bodyHash))
		changed := p.changed
		p.mu.Unlock()
		if !pending {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// outcomePending reports whether the identity is held by a call of this process
// that has replied. The caller holds mu.
func (p *partition) outcomePending(view claim.View) bool {
	if view.Status != claim.Open || view.Claim.Incarnation != p.client.incarnation {
		return false
	}
	a := p.calls[view.Claim.Seq]
	return a == nil || a.replied
}

// markReplied records that the call has replied to its caller.
func (p *partition) markReplied(a *activeCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a.replied = true
}

func (p *partition) view(a *activeCall) claim.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index.View(a.identity, a.bodyHash)
}

func (p *partition) skipped() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index.Skipped()
}

// unavailable reports whether appends or reads have been failing for longer than
// UnavailableAfter. The caller holds mu.
func (p *partition) unavailable() bool {
	now := p.client.now()
	limit := p.client.settings.UnavailableAfter
	return !p.appendFailingSince.IsZero() && now.Sub(p.appendFailingSince) > limit ||
		!p.readFailingSince.IsZero() && now.Sub(p.readFailingSince) > limit
}

// setHealth records the result of an append or a read. since points to
// appendFailingSince or readFailingSince.
func (p *partition) setHealth(since *time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case ok:
		*since = time.Time{}
	case since.IsZero():
		*since = p.client.now()
	}
}

// enqueue passes an entry to the writer. It returns false if the queue is full.
func (p *partition) enqueue(q queuedEntry) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case p.queue <- q:
		p.unwritten++
		return true
	default:
		if q.entry.Type != claim.EntryClaim && !q.marker {
			p.client.counters.outcomesDropped.Add(1)
		}
		return false
	}
}

func (p *partition) enqueueOutcome(e claim.Entry) { p.enqueue(queuedEntry{entry: e}) }

func (p *partition) entriesFinished(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unwritten -= n
	p.allWritten.Broadcast()
}

// flush waits until all queued entries are written or dropped.
func (p *partition) flush(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.allWritten.Broadcast()
	})
	defer stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.unwritten > 0 {
		if ctx.Err() != nil {
			return errkind.Wrap(errkind.Canceled, ctx.Err(), "shutdown stopped with unwritten outcomes")
		}
		p.allWritten.Wait()
	}
	return nil
}

// apply applies records to the Index and passes the decision on each claim of
// this process to its call.
func (p *partition) apply(records []infra.Record) {
	var abandoned []claim.Entry
	p.mu.Lock()
	for _, r := range records {
		applied := p.index.Apply(r)
		if applied.Incarnation != p.client.incarnation {
			continue
		}
		if applied.RecordID == p.pendingRecordID && p.pendingRead != nil {
			close(p.pendingRead)
			p.pendingRead = nil
		}
		for _, d := range applied.Decisions {
			abandoned = append(abandoned, p.deliverDecision(d)...)
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	for _, e := range abandoned {
		p.enqueueOutcome(e)
	}
}

// deliverDecision passes the first decision on a claim to its call. A claim that
// won after its call had ended, or after an earlier duplicate of the claim had
// lost, did not run and is abandoned. The caller holds mu.
func (p *partition) deliverDecision(d claim.Decision) []claim.Entry {
	a := p.calls[d.Claim.Seq]
	if a != nil && !a.decided {
		a.decided = true
		a.decision <- d
		return nil
	}
	if d.Won {
		return []claim.Entry{claim.AbandonedEntry(d)}
	}
	return nil
}
