package claimlog

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/infra"
)

// tail folds the stream from its first record on.
func (p *partition) tail() {
	defer p.client.loops.Done()
	backoff := minBackoff
	for p.client.ctx.Err() == nil {
		batch, err := p.read()
		if p.recovered(err) {
			backoff = minBackoff
			p.apply(batch.Records)
			p.keepCovered(len(batch.Records))
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
	after := p.book.Offset()
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(p.client.ctx, s.ReadWait+s.AppendTimeout)
	defer cancel()
	return p.client.log.Read(ctx, p.stream, after, s.ReadLimit, s.ReadWait)
}

// recovered reports whether the tail goes on without a pause. Records that the
// log no longer holds leave a gap in the Book.
func (p *partition) recovered(err error) bool {
	var trimmed *infra.TrimmedError
	if errors.As(err, &trimmed) {
		p.mu.Lock()
		before := p.book.Offset()
		p.book.MarkTrimmed(trimmed.Oldest)
		moved := p.book.Offset() != before
		p.mu.Unlock()
		return moved
	}
	p.setHealth(&p.readFailing, err == nil)
	return err == nil
}

// keepCovered appends a marker to an idle partition, so that a reader that
// starts later finds a record older than the keys it accepts.
func (p *partition) keepCovered(records int) {
	if records > 0 {
		return
	}
	p.mu.Lock()
	needed := p.book.NeedsMarker(p.client.now(), p.client.settings.MarkerInterval)
	p.mu.Unlock()
	if needed {
		p.enqueue(item{marker: true})
	}
}
