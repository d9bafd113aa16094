package inbound

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/bytebudget"
)

// firstMeteredBytes is what is claimed first of a body of unknown length that a library reads.
const firstMeteredBytes = 4 << 10

type requestKey struct{}

// RequestOf returns the request that Meter has put into the context of its handler, or nil.
func RequestOf(ctx context.Context) *Request {
	q, _ := ctx.Value(requestKey{}).(*Request)
	return q
}

// Meter returns a handler that passes requests to next whose bodies a library reads. The bytes
// that it reads are claimed as they arrive, o.Copies times. A request that is refused before
// its body is read gets an error response; after that, its body fails with an error that wrap
// has made of the refusal. The memory is given back when next returns, unless next has called
// Take.
func (m *Memory) Meter(o ReadOptions, wrap func(*errkind.Error) error, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := &Request{memory: m, conn: connOf(r.Context()), writer: w}
		q.body.request = q
		if err := q.openMetered(r, o); err != nil {
			e := errkind.Of(q.readError(err, o.MaxBody))
			q.Close()
			Refuse(w, r, e, func() { http.Error(w, e.Error(), e.Kind.Attributes().HTTPStatus) })
			return
		}
		defer q.closeUnlessTaken()
		body := &meteredBody{ReadCloser: r.Body, request: q, options: o, wrap: wrap, length: r.ContentLength, response: w.Header()}
		metered := r.WithContext(context.WithValue(r.Context(), requestKey{}, q))
		metered.Body = body
		next.ServeHTTP(w, metered)
		if body.refusal != nil {
			dropRest(w, r)
		}
	})
}

// openMetered opens the claim without a part of the body.
func (q *Request) openMetered(r *http.Request, o ReadOptions) error {
	head := extraHeadBytes(r.Header)
	m := q.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.budgetTime()
	q.claim = m.budget.Open(now, o.Organisation, q)
	m.run()
	return q.grow(now, requestBytes+head)
}

// Take makes the caller responsible for Close, after the handler has returned. The body has
// been read completely.
func (q *Request) Take() { q.taken = true }

func (q *Request) closeUnlessTaken() {
	if !q.taken {
		q.Close()
	}
}

// ReleaseBody gives the bytes of a metered body back, which the caller no longer uses.
func (q *Request) ReleaseBody() {
	m := q.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	q.claim.Release(q.metered)
	q.metered = 0
	m.stepForWaiting()
}

// ReleaseProgress gives back what a request in progress takes beside its body, but for the bytes
// that its owner keeps after its end.
func (q *Request) ReleaseProgress(kept int) { q.Shrink(requestBytes - kept) }

// meteredBody is a body whose bytes are claimed as they are read.
type meteredBody struct {
	io.ReadCloser
	request *Request
	options ReadOptions
	wrap    func(*errkind.Error) error
	length  int64
	// response is the header of the response.
	response http.Header
	// read is the number of bytes that were read, claimed of those that were claimed.
	read    int
	claimed int
	refusal error
	ended   bool
}

// Read implements io.Reader.
func (b *meteredBody) Read(p []byte) (int, error) {
	switch {
	case b.refusal != nil:
		return 0, b.refusal
	case b.ended:
		return 0, io.EOF
	}
	if b.read == b.claimed {
		if err := b.claim(); err != nil {
			return 0, b.refuse(err)
		}
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), b.claimed-b.read)])
	b.read += n
	if b.read > b.options.MaxBody {
		return 0, b.refuse(errTooLarge)
	}
	if n > 0 {
		b.request.progress(n)
	}
	switch {
	case errors.Is(err, io.EOF):
		if completeErr := b.request.complete(); completeErr != nil {
			return 0, b.refuse(completeErr)
		}
		b.ended = true
		return n, err
	case err != nil && b.request.reason() != bytebudget.None:
		return 0, b.refuse(err)
	default:
		return n, err
	}
}

// claim claims the next bytes: at first as many as are announced, up to a block, or a few.
func (b *meteredBody) claim() error {
	n := BlockBytes
	switch {
	case b.read > 0:
	case b.length > 0:
		n = int(min(b.length+1, BlockBytes)) // one more byte, for the end
	default:
		n = firstMeteredBytes
	}
	n = min(n, b.options.MaxBody+1-b.read)
	bytes := int64(b.options.Copies) * int64(n)
	q := b.request
	q.memory.mu.Lock()
	defer q.memory.mu.Unlock()
	defer q.memory.dropBlocks()
	if err := q.grow(q.memory.budgetTime(), bytes); err != nil {
		return err
	}
	q.metered += bytes
	b.claimed += n
	return nil
}

// refuse ends the body with an error.
func (b *meteredBody) refuse(err error) error {
	b.refusal = b.wrap(errkind.Of(b.request.readError(err, b.options.MaxBody)))
	b.response.Set("Connection", "close")
	return b.refusal
}
