package claimlog

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/invariant"
	"github.com/filbertmux/filbertmux/serve/claim"
)

// Back-off between attempts to append the same record.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// entryBytes estimates an encoded entry without its answer body.
const entryBytes = 256

// write commits queued items in groups. One append is in flight at a time, so
// that the group grows while an append takes long.
func (p *partition) write() {
	defer p.client.loops.Done()
	for {
		items := p.collect()
		if len(items) == 0 {
			return
		}
		p.commit(items)
		p.settle(len(items))
	}
}

// collect waits for an item and then GroupDelay for more. It returns nothing
// once the client has ended.
func (p *partition) collect() []item {
	s := &p.client.settings
	var items []item
	select {
	case i := <-p.queue:
		items = append(items, i)
	case <-p.client.ctx.Done():
		return nil
	}
	timer := time.NewTimer(s.GroupDelay)
	defer timer.Stop()
	size := itemBytes(items[0])
	for len(items) < s.MaxBatchEntries && size < s.MaxBatchBytes {
		select {
		case i := <-p.queue:
			items = append(items, i)
			size += itemBytes(i)
		case <-timer.C:
			return items
		case <-p.client.ctx.Done():
			return items
		}
	}
	return items
}

func itemBytes(i item) int {
	if i.entry.Answer == nil {
		return entryBytes
	}
	return entryBytes + len(i.entry.Answer.Body)
}

// commit appends items until an append is acknowledged or the record is read
// back, or nothing is left to write. A repeated append may leave two copies in
// the log; the fold ignores the second one.
func (p *partition) commit(items []item) {
	id := uuid.NewString()
	seen := p.expect(id)
	backoff := minBackoff
	for {
		items = p.stillNeeded(items)
		if len(items) == 0 && !p.appendsFail() {
			return
		}
		err := p.append(id, items)
		if err == nil {
			return
		}
		pause := backoff
		if errkind.Is(err, errkind.PlatformRateLimited) {
			pause = max(pause, errkind.Of(err).RetryAfter)
		}
		select {
		case <-seen:
			// The append took effect, so the log accepts appends.
			p.setHealth(&p.appendFailing, true)
			p.written(items)
			return
		case <-time.After(min(pause, maxBackoff)):
		case <-p.client.ctx.Done():
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (p *partition) expect(id string) <-chan struct{} {
	seen := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending, p.seen = id, seen
	return seen
}

func (p *partition) appendsFail() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.appendFailing.IsZero() && p.client.ctx.Err() == nil
}

// stillNeeded drops claims whose call has ended or whose claim was read. While
// appends fail, an empty record is appended as a probe.
func (p *partition) stillNeeded(items []item) []item {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := items[:0]
	for _, i := range items {
		if i.entry.Type == claim.EntryClaim && (i.call.ended || i.call.decided) {
			continue
		}
		kept = append(kept, i)
	}
	return kept
}

// append makes one attempt.
func (p *partition) append(id string, items []item) error {
	entries := make([]claim.Entry, 0, len(items))
	for _, i := range items {
		if !i.marker {
			entries = append(entries, i.entry)
		}
	}
	data, err := claim.Encode(id, p.client.incarnation, entries)
	if !invariant.Check(err == nil, "encode claim record: %v", err) {
		return nil
	}
	err = p.send(data)
	c := &p.client.counters
	switch {
	case err == nil:
		c.appends.Add(1)
		c.entries.Add(int64(len(entries)))
		p.setHealth(&p.appendFailing, true)
		p.written(items)
	case errkind.Is(err, errkind.PlatformRateLimited):
		c.rateLimited.Add(1)
		p.notify(items, claim.AppendRateLimited)
	default:
		c.lost.Add(1)
		p.setHealth(&p.appendFailing, false)
		p.notify(items, claim.AppendLost)
	}
	return err
}

func (p *partition) send(data []byte) error {
	ctx, cancel := context.WithTimeout(p.client.ctx, p.client.settings.AppendTimeout)
	defer cancel()
	_, err := p.client.log.Append(ctx, p.stream, data)
	return err
}

// written tells each call that its entry is in the log.
func (p *partition) written(items []item) {
	for _, i := range items {
		switch {
		case i.call == nil:
		case i.entry.Type == claim.EntryClaim:
			i.call.notify(claim.ClaimAppended)
		default:
			i.call.notify(claim.OutcomeWritten)
		}
	}
}

func (p *partition) notify(items []item, kind claim.EventKind) {
	for _, i := range items {
		if i.call != nil {
			i.call.notify(kind)
		}
	}
}
