package inbound

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/bytebudget"
)

const (
	// usualHeadBytes is the part of a head that requestBytes covers.
	usualHeadBytes = 2 << 10
	// headCopies is how often a head is held: as it was read, and as it is sent on.
	headCopies = 2
	// smallHeadBytes is what the head of a small request takes beyond usualHeadBytes. Callers
	// behind proxies send some 30 lines.
	smallHeadBytes = 8 << 10
	// fullRetryAfter is the Retry-After value of a request for which there is no memory. It
	// is short because another process can serve the request at once.
	fullRetryAfter = 200 * time.Millisecond
	// slowRetryAfter is the Retry-After value of a request whose body arrived too slowly.
	slowRetryAfter = time.Second
)

// ReadOptions says how a request is read.
type ReadOptions struct {
	// Organisation owns the request; empty if the client has no known key.
	Organisation string
	// MaxBody is the largest body in bytes.
	MaxBody int
	// Timeout bounds the time to read the body; 0 for no other bound than the least rate.
	Timeout time.Duration
	// Copies is the number of copies of the body that are made of it while the request is
	// in progress. If it isn't 0, Joined returns the first one.
	Copies int
}

// Request is a request whose body has been read, with the memory that it takes. It is used by
// one goroutine at a time.
type Request struct {
	memory *Memory
	claim  *bytebudget.Claim[*Request] // guarded by memory.mu
	conn   *Conn                       // nil without a Connections
	body   Buffer
	joined []byte
	// joinedBytes is what is claimed for the joined body and its copies.
	joinedBytes int64
	// receiveBytes is what is claimed for a larger receive buffer.
	receiveBytes int64
	// metered is what is claimed for a body that a library reads. taken means that the
	// memory isn't given back when the handler returns.
	metered int64
	taken   bool

	// wake is made for a wait, and signalled when the request has got the bytes that it
	// waits for, or has ended; guarded by memory.mu.
	wake chan struct{}
	// writer is set until the body is complete; guarded by memory.mu.
	writer http.ResponseWriter
}

// Read reads a request whose head was accepted. The caller has to call Close. After an error
// nothing is held, and the request hasn't run; the rest of its body is unread.
func (m *Memory) Read(w http.ResponseWriter, r *http.Request, o ReadOptions) (*Request, error) {
	if r.ContentLength > int64(o.MaxBody) {
		return nil, errkind.New(errkind.RequestTooLarge, "body of %d bytes exceeds the limit of %d", r.ContentLength, o.MaxBody)
	}
	q := &Request{memory: m, conn: connOf(r.Context()), writer: w}
	q.body.request = q
	err := q.open(r, o.Organisation)
	if err == nil {
		err = q.readBody(w, r, o)
	}
	if err != nil {
		err = q.readError(err, o.MaxBody)
		q.Close()
		return nil, err
	}
	return q, nil
}

// open opens the claim, with the first block of the body.
func (q *Request) open(r *http.Request, organisation string) error {
	m := q.memory
	size := firstBlockSize(r)
	head := extraHeadBytes(r.Header)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.budgetTime()
	q.claim = m.budget.Open(now, organisation, q)
	m.run()
	if err := q.grow(now, requestBytes+head+int64(size)); err != nil {
		return err
	}
	if size > 0 {
		q.body.add(m.takeBlock(size))
	}
	return nil
}

// firstBlockSize returns the size of the first block of a body, or 0 if there is none.
func firstBlockSize(r *http.Request) int {
	switch {
	case r.Body == nil || r.Body == http.NoBody:
		return 0
	case r.ContentLength > 0:
		return int(min(r.ContentLength, BlockBytes))
	default:
		return BlockBytes
	}
}

// extraHeadBytes returns what an unusually large head takes, mainly by the number of its
// lines.
func extraHeadBytes(h http.Header) int64 {
	total := 0
	for name, values := range h {
		total += lineBytes + len(name)
		for _, v := range values {
			total += len(v)
		}
		total += lineBytes * (len(values) - 1)
	}
	return headCopies * int64(max(total-usualHeadBytes, 0))
}

// readBody reads the body, joins it if copies are wanted, and ends the time in which the
// request can be ended.
func (q *Request) readBody(w http.ResponseWriter, r *http.Request, o ReadOptions) error {
	if q.body.Blocks() != nil {
		if o.Timeout > 0 {
			// A test's response recorder has no deadlines.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(o.Timeout))
		}
		if err := q.body.fill(r.Body, r.ContentLength, o.MaxBody, true); err != nil {
			return err
		}
		if err := q.join(o.Copies); err != nil {
			return err
		}
	}
	return q.complete()
}

// join makes the first copy of the body, in one slice, and claims them all.
func (q *Request) join(copies int) error {
	if copies == 0 || q.body.Len() == 0 {
		return nil
	}
	m := q.memory
	n := int64(copies) * int64(q.body.Len())
	m.mu.Lock()
	err := q.grow(m.budgetTime(), n)
	m.dropBlocks()
	m.mu.Unlock()
	if err != nil {
		return err
	}
	q.joinedBytes = n
	q.joined = q.body.join()
	q.body.Release()
	return nil
}

// complete ends the time in which the request can be ended.
func (q *Request) complete() error {
	m := q.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	q.writer = nil
	if q.receiveBytes > 0 {
		q.conn.setReceiveBuffer(smallReceiveBytes)
		q.claim.Release(q.receiveBytes)
		q.receiveBytes = 0
		m.stepForWaiting()
	}
	if !q.claim.Complete() {
		return errNoRoom
	}
	return nil
}

// readError returns the error of a request that wasn't read.
func (q *Request) readError(err error, maxBody int) error {
	switch q.reason() {
	case bytebudget.None:
	case bytebudget.Slow:
		return errkind.New(errkind.SlowBody, "the body arrived with less than %d bytes per second", minBodyRate).
			WithRetryAfter(slowRetryAfter)
	default:
		return errkind.New(errkind.MemoryExhausted, "no memory is left for this request").WithRetryAfter(fullRetryAfter)
	}
	if errors.Is(err, errTooLarge) {
		return errkind.New(errkind.RequestTooLarge, "body exceeds the limit of %d bytes", maxBody)
	}
	return errkind.Wrap(errkind.Canceled, err, "the caller disconnected while sending the body")
}

func (q *Request) reason() bytebudget.Reason {
	q.memory.mu.Lock()
	defer q.memory.mu.Unlock()
	return q.claim.Reason()
}

// Body returns the body. It is empty if the body was joined.
func (q *Request) Body() *Buffer { return &q.body }

// Joined returns the body in one slice, which stays valid after Close.
func (q *Request) Joined() []byte { return q.joined }

// ReleaseJoined gives the memory of the joined body and its copies back, which the caller no
// longer uses.
func (q *Request) ReleaseJoined() {
	m := q.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	q.claim.Release(q.joinedBytes)
	q.joined, q.joinedBytes = nil, 0
	m.stepForWaiting()
}

// ReadResponse reads a response to its end into a buffer that counts to the request, without
// waiting for memory. length is that of the response, if it is known. complete is false if
// the response is larger than the limit, or than the memory that is free; the rest of it is
// unread. The caller has to release the buffer, or to close the request.
func (q *Request) ReadResponse(src io.Reader, length int64, limit int) (b *Buffer, complete bool, err error) {
	b = &Buffer{request: q}
	err = b.fill(src, length, limit, false)
	if errors.Is(err, errNoRoom) {
		return b, false, nil
	}
	return b, err == nil, err
}

// TryGrow claims n more bytes if they are free.
func (q *Request) TryGrow(n int) bool {
	m := q.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.dropBlocks()
	return q.claim.TryGrow(int64(n))
}

// Shrink gives n bytes back that TryGrow has claimed.
func (q *Request) Shrink(n int) {
	q.memory.mu.Lock()
	defer q.memory.mu.Unlock()
	q.claim.Release(int64(n))
	q.memory.stepForWaiting()
}

// Close gives all memory back. Further calls have no effect.
func (q *Request) Close() {
	if q == nil {
		return
	}
	m := q.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	q.claim.Close()
	m.putBlocks(q.body.blocks)
	q.body.clear()
	m.stepForWaiting()
}

// grow claims n more bytes while the body is read, and waits for them if necessary. The
// caller holds memory.mu, which is released during a wait.
func (q *Request) grow(now time.Time, n int64) error {
	m := q.memory
	switch q.claim.Grow(now, n) {
	case bytebudget.Granted:
		return nil
	case bytebudget.Refused:
		return errNoRoom
	}
	q.wake = make(chan struct{}, 1)
	m.step()
	m.mu.Unlock()
	<-q.wake
	m.mu.Lock()
	if q.claim.Reason() != bytebudget.None {
		return errNoRoom
	}
	return nil
}

// nextBlock returns another block for the body of the request. A body with more than one
// block is large, so it gets a larger receive buffer as well.
func (q *Request) nextBlock() ([]byte, error) {
	m := q.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	n := int64(BlockBytes)
	raise := q.conn != nil && q.receiveBytes == 0
	if raise {
		n += 2 * largeReceiveBytes
	}
	if err := q.grow(m.budgetTime(), n); err != nil {
		return nil, err
	}
	if raise {
		q.receiveBytes = n - BlockBytes
		q.conn.setReceiveBuffer(largeReceiveBytes)
	}
	return m.takeBlock(BlockBytes), nil
}

// responseBlock returns a block for a response, if there is room.
func (q *Request) responseBlock(size int) ([]byte, error) {
	m := q.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if !q.claim.TryGrow(int64(size)) {
		return nil, errNoRoom
	}
	return m.takeBlock(size), nil
}

// progress records that n bytes of the body have arrived.
func (q *Request) progress(n int) {
	q.memory.mu.Lock()
	defer q.memory.mu.Unlock()
	q.claim.Progress(q.memory.budgetTime(), int64(n))
}

// releaseBlocks gives blocks back.
func (q *Request) releaseBlocks(blocks [][]byte) {
	m := q.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range blocks {
		q.claim.Release(int64(cap(b)))
	}
	m.putBlocks(blocks)
	m.stepForWaiting()
}

// wakeUp ends a wait for memory. The caller holds memory.mu.
func (q *Request) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// interrupt ends a wait for memory, or a read of the body. The caller holds memory.mu.
func (q *Request) interrupt() {
	q.wakeUp()
	if q.writer != nil {
		// A test's response recorder has no deadlines.
		_ = http.NewResponseController(q.writer).SetReadDeadline(time.Unix(1, 0))
	}
}
