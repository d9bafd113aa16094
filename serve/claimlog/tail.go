package claimlog

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/infra"
)

// runTail reads the stream from its first record on and applies the records.
func (p *partition) runTail() {
	defer p.client.goroutines.Done()
	backoff := minBackoff
	for p.client.ctx.Err() == nil {
		batch, err := p.read()
		if p.handleReadResult(err) {
			backoff = minBackoff
			p.apply(batch.Records)
			p.appendMarkerIfDue(len(batch.Records))
			continue
		}
		select {
		case <-time.After(backoff):
		case <-p.client.ctx.Done():
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (p *partition) read() (infra.Batch, error) {
	s := &p.client.settings
	p.mu.Lock()
	after := p.index.Offset()
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(p.client.ctx, s.ReadWait+s.AppendTimeout)
	defer cancel()
	return p.client.log.Read(ctx, p.stream, after, s.ReadLimit, s.ReadWait)
}

// handleReadResult records the result of a read and reports whether the next read
// may follow without a backoff. Trimmed records leave a gap in the Index.
func (p *partition) handleReadResult(err error) bool {
	var trimmed *infra.TrimmedError
	if errors.As(err, &trimmed) {
		p.mu.Lock()
		before := p.index.Offset()
		p.index.MarkTrimmed(trimmed.Oldest)
		gapFound := p.index.Offset() != before
		p.mu.Unlock()
		return gapFound
	}
	p.setHealth(&p.readFailingSince, err == nil)
	return err == nil
}

// appendMarkerIfDue appends a marker to an idle partition, so that a sidecar that
// starts later finds a record older than the keys that it accepts.
func (p *partition) appendMarkerIfDue(records int) {
	if records > 0 {
		return
	}
	p.mu.Lock()
	due := p.index.NeedsMarker(p.client.now(), p.client.settings.MarkerInterval)
	p.mu.Unlock()
	if due {
		p.enqueue(queuedEntry{marker: true})
	}
}
