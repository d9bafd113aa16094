package claimlog

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/invariant"
	"github.com/filbertmux/filbertmux/serve/claim"
)

// Backoff between reads after a failure and between appends of the same record.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// entryOverheadBytes is the estimated size of an encoded entry without its answer
// body.
const entryOverheadBytes = 256

// runWriter appends queued entries in group commits. Only one append is in flight
// at a time, so the groups grow when appends are slow.
func (p *partition) runWriter() {
	defer p.client.goroutines.Done()
	for {
		batch := p.collect()
		if len(batch) == 0 {
			return
		}
		p.commit(batch)
		p.entriesFinished(len(batch))
	}
}

// collect waits for an entry and then up to GroupDelay for more. It returns nil
// when the client has shut down.
func (p *partition) collect() []queuedEntry {
	s := &p.client.settings
	var batch []queuedEntry
	select {
	case q := <-p.queue:
		batch = append(batch, q)
	case <-p.client.ctx.Done():
		return nil
	}
	timer := time.NewTimer(s.GroupDelay)
	defer timer.Stop()
	size := entrySize(batch[0])
	for len(batch) < s.MaxBatchEntries && size < s.MaxBatchBytes {
		select {
		case q := <-p.queue:
			batch = append(batch, q)
			size += entrySize(q)
		case <-timer.C:
			return batch
		case <-p.client.ctx.Done():
			return batch
		}
	}
	return batch
}

func entrySize(q queuedEntry) int {
	if q.entry.Answer == nil {
		return entryOverheadBytes
	}
	return entryOverheadBytes + len(q.entry.Answer.Body)
}

// commit retries the append of a record until it is acknowledged or read back, or
// no entry is left to write. A retry may leave duplicates in the log, which the
// Index ignores.
func (p *partition) commit(batch []queuedEntry) {
	id := uuid.NewString()
	readBack := p.expectRecord(id)
	backoff := minBackoff
	for {
		batch = p.dropObsoleteClaims(batch)
		if len(batch) == 0 && !p.appendsFailing() {
			return
		}
		err := p.append(id, batch)
		if err == nil {
			return
		}
		delay := backoff
		if errkind.Is(err, errkind.PlatformRateLimited) {
			delay = max(delay, errkind.Of(err).RetryAfter)
		}
		select {
		case <-readBack:
			// The record was read back, so the log accepts appends even though the
			// response was lost.
			p.setHealth(&p.appendFailingSince, true)
			p.notifyWritten(batch)
			return
		case <-time.After(min(delay, maxBackoff)):
		case <-p.client.ctx.Done():
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (p *partition) expectRecord(id string) <-chan struct{} {
	readBack := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingRecordID, p.pendingRead = id, readBack
	return readBack
}

func (p *partition) appendsFailing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.appendFailingSince.IsZero() && p.client.ctx.Err() == nil
}

// dropObsoleteClaims drops claims whose call has ended or that were read back.
// If nothing remains while appends fail, commit appends an empty record as a
// probe.
func (p *partition) dropObsoleteClaims(batch []queuedEntry) []queuedEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	needed := batch[:0]
	for _, q := range batch {
		if q.entry.Type == claim.EntryClaim && (q.call.ended || q.call.decided) {
			continue
		}
		needed = append(needed, q)
	}
	return needed
}

// append makes one attempt to append a record and reports its result to the
// calls.
func (p *partition) append(id string, batch []queuedEntry) error {
	entries := make([]claim.Entry, 0, len(batch))
	for _, q := range batch {
		if !q.marker {
			entries = append(entries, q.entry)
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
		p.setHealth(&p.appendFailingSince, true)
		p.notifyWritten(batch)
	case errkind.Is(err, errkind.PlatformRateLimited):
		c.rateLimited.Add(1)
		p.notifyCalls(batch, claim.AppendRateLimited)
	default:
		c.lost.Add(1)
		p.setHealth(&p.appendFailingSince, false)
		p.notifyCalls(batch, claim.AppendLost)
	}
	return err
}

func (p *partition) send(data []byte) error {
	ctx, cancel := context.WithTimeout(p.client.ctx, p.client.settings.AppendTimeout)
	defer cancel()
	_, err := p.client.log.Append(ctx, p.stream, data)
	return err
}

// notifyWritten tells each call that its entry is in the log.
func (p *partition) notifyWritten(batch []queuedEntry) {
	for _, q := range batch {
		switch {
		case q.call == nil:
		case q.entry.Type == claim.EntryClaim:
			q.call.notify(claim.ClaimAppended)
		default:
			q.call.notify(claim.OutcomeWritten)
		}
	}
}

func (p *partition) notifyCalls(batch []queuedEntry, kind claim.EventKind) {
	for _, q := range batch {
		if q.call != nil {
			q.call.notify(kind)
		}
	}
}
