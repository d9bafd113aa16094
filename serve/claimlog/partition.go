package claimlog

import (
	"context"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/serve/claim"
)

// item is one entry that waits for a commit. call is nil for the abandonment
// of a claim whose call has ended, and for a marker.
type item struct {
	entry  claim.Entry
	call   *liveCall
	marker bool
}

// partition is one claim stream. Its mutex guards the Book, the registered
// calls and the health of the log.
type partition struct {
	client *Client
	stream string
	queue  chan item

	mu    sync.Mutex
	book  *claim.Index
	calls map[uint64]*liveCall
	// pending is the id of the record whose append is unresolved; seen is
	// closed when the tail reads it.
	pending string
	seen    chan struct{}
	// unwritten counts queued and uncommitted items.
	unwritten int
	// changed is closed and replaced when records are folded.
	changed       chan struct{}
	idle          *sync.Cond
	appendFailing time.Time // zero while appends work
	readFailing   time.Time // zero while reads work
}

func newPartition(c *Client, stream string) *partition {
	p := &partition{
		client: c, stream: stream,
		queue: make(chan item, c.settings.QueueLength),
		book:  claim.NewIndex(c.settings.Claim),
		calls: make(map[uint64]*liveCall), changed: make(chan struct{}),
	}
	p.idle = sync.NewCond(&p.mu)
	return p
}

// register adds a call and returns the view of its identity and whether the
// log has been failing for longer than DownAfter.
func (p *partition) register(l *liveCall) (claim.View, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[l.call.ID().Seq] = l
	return p.book.View(l.identity, l.bodyHash), p.down()
}

// unregister removes a call that has ended. A verdict that arrived too late
// for the call to act on is answered with an abandonment.
func (p *partition) unregister(l *liveCall) {
	p.mu.Lock()
	l.ended = true
	delete(p.calls, l.call.ID().Seq)
	p.mu.Unlock()
	select {
	case v := <-l.verdict:
		if v.Won {
			p.enqueueOutcome(claim.AbandonedEntry(v))
		}
	default:
	}
}

// awaitOutcome waits while a call of this process holds the identity, has
// replied and its outcome was not read back. A caller that sends a booking
// again right after its answer then gets the answer and not "in progress".
func (p *partition) awaitOutcome(ctx context.Context, id claim.Identity, bodyHash string) {
	timer := time.NewTimer(p.client.settings.OutcomeWait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		settling := p.settling(p.book.View(id, bodyHash))
		changed := p.changed
		p.mu.Unlock()
		if !settling {
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

// settling is called with the mutex held.
func (p *partition) settling(v claim.View) bool {
	if v.Status != claim.Open || v.Claim.Incarnation != p.client.incarnation {
		return false
	}
	l := p.calls[v.Claim.Seq]
	return l == nil || l.replied
}

// markReplied notes that the caller gets its reply now.
func (p *partition) markReplied(l *liveCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.replied = true
}

func (p *partition) view(l *liveCall) claim.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.View(l.identity, l.bodyHash)
}

func (p *partition) skipped() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.Skipped()
}

// down is called with the mutex held.
func (p *partition) down() bool {
	now := p.client.now()
	limit := p.client.settings.UnavailableAfter
	return !p.appendFailing.IsZero() && now.Sub(p.appendFailing) > limit ||
		!p.readFailing.IsZero() && now.Sub(p.readFailing) > limit
}

// setHealth records the result of an append or a read in since.
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

// enqueue hands an item to the writer. It returns false if the queue is full.
func (p *partition) enqueue(i item) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case p.queue <- i:
		p.unwritten++
		return true
	default:
		if i.entry.Type != claim.EntryClaim && !i.marker {
			p.client.counters.outcomesDropped.Add(1)
		}
		return false
	}
}

func (p *partition) enqueueOutcome(e claim.Entry) { p.enqueue(item{entry: e}) }

func (p *partition) settle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unwritten -= n
	p.idle.Broadcast()
}

// flush waits until each queued item is written or dropped.
func (p *partition) flush(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.idle.Broadcast()
	})
	defer stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.unwritten > 0 {
		if ctx.Err() != nil {
			return errkind.Wrap(errkind.Canceled, ctx.Err(), "outcomes were unwritten")
		}
		p.idle.Wait()
	}
	return nil
}

// apply folds records and passes each verdict on an own claim to its call.
func (p *partition) apply(records []infra.Record) {
	var orphans []claim.Entry
	p.mu.Lock()
	for _, r := range records {
		applied := p.book.Apply(r)
		if applied.Incarnation != p.client.incarnation {
			continue
		}
		if applied.RecordID == p.pending && p.seen != nil {
			close(p.seen)
			p.seen = nil
		}
		for _, v := range applied.Decisions {
			orphans = append(orphans, p.deliver(v)...)
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	for _, e := range orphans {
		p.enqueueOutcome(e)
	}
}

// deliver passes the first verdict on a claim to its call. A claim that won
// after its call had ended, or after a first copy of it had lost, never ran
// and is abandoned.
func (p *partition) deliver(v claim.Decision) []claim.Entry {
	l := p.calls[v.Claim.Seq]
	if l != nil && !l.decided {
		l.decided = true
		l.verdict <- v
		return nil
	}
	if v.Won {
		return []claim.Entry{claim.AbandonedEntry(v)}
	}
	return nil
}
