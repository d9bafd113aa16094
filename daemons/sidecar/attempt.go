package sidecar

import (
	"context"
	"sync"

	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/quarantine"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// attemptKey identifies an attempt within one incarnation.
type attemptKey struct {
	requestID string
	attempt   uint32
}

func keyOf(id *pb.AttemptId) attemptKey {
	return attemptKey{requestID: id.GetRequestId(), attempt: id.GetAttempt()}
}

// attempt is one attempt in flight or held for replay. One goroutine runs the
// call and appends chunks; the connection that attached last sends them.
type attempt struct {
	id          *pb.AttemptId
	fingerprint quarantine.Fingerprint
	cancel      context.CancelFunc

	mu         sync.Mutex
	sender     *stream.Sender
	connection uint64        // number of the connection that may send
	attached   bool          // that connection is open
	changed    chan struct{} // closed and replaced on each change

	closed     chan struct{} // closed when an entry closed its connection after the end chunk
	closedOnce sync.Once
}

func newAttempt(id *pb.AttemptId, replayBytes int, cancel context.CancelFunc) *attempt {
	return &attempt{
		id:      id,
		cancel:  cancel,
		sender:  stream.NewSender(id, replayBytes),
		changed: make(chan struct{}),
		closed:  make(chan struct{}),
	}
}

// attach makes a new connection the only one that sends, from chunk next on.
func (a *attempt) attach(next uint64) (uint64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.sender.Resume(next); err != nil {
		return 0, err
	}
	a.connection++
	a.attached = true
	a.notify()
	return a.connection, nil
}

// detach reports whether the connection was still the current one.
func (a *attempt) detach(connection uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.connection != connection {
		return false
	}
	a.attached = false
	return true
}

// abandoned reports whether no connection followed the given one.
func (a *attempt) abandoned(connection uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.connection == connection && !a.attached
}

// next returns the next chunk for the connection. With no chunk, it returns a
// channel that is closed on the next change. done says that the connection has
// nothing more to send.
func (a *attempt) next(connection uint64) (chunk *pb.Chunk, changed <-chan struct{}, done bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.connection != connection {
		return nil, nil, true
	}
	if c := a.sender.Next(); c != nil {
		a.notify()
		return c, nil, false
	}
	return nil, a.changed, a.sender.Drained()
}

// sent reports whether the end chunk was handed to a connection. Otherwise the
// channel is closed on the next change.
func (a *attempt) sent() (bool, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sender.Drained(), a.changed
}

// unclosed returns the channel of the next change if the connection is the
// current one and has sent the end chunk.
func (a *attempt) unclosed(connection uint64) (<-chan struct{}, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed, a.connection == connection && a.sender.Drained()
}

// close notes that an entry closed its connection after the end chunk.
func (a *attempt) close() { a.closedOnce.Do(func() { close(a.closed) }) }

// head appends the head of the answer.
func (a *attempt) head(ctx context.Context, head *pb.Head) error {
	return a.push(ctx, func() bool { return a.sender.Head(head) })
}

// data appends a part of the answer and takes ownership of b.
func (a *attempt) data(ctx context.Context, b []byte) error {
	return a.push(ctx, func() bool { return a.sender.Data(b) })
}

// end closes the answer.
func (a *attempt) end(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sender.End(err)
	a.notify()
}

// push waits until the replay buffer has room.
func (a *attempt) push(ctx context.Context, try func() bool) error {
	for {
		a.mu.Lock()
		if try() {
			a.notify()
			a.mu.Unlock()
			return nil
		}
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return errkind.Wrap(errkind.Canceled, context.Cause(ctx), "answer")
		}
	}
}

// notify wakes everyone who waits for a change. The caller holds mu.
func (a *attempt) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}
