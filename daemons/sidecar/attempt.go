package sidecar

import (
	"context"
	"sync"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/daemons/inbound"
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

// attempt is one attempt that is in flight or retained for replay. One goroutine
// runs the call and appends chunks; the most recently attached connection sends
// them.
type attempt struct {
	id          *pb.AttemptId
	fingerprint quarantine.Fingerprint
	promptParts []string
	cancel      context.CancelFunc

	// memory is what the attempt takes, or nil. answerBytes is the part of it for the answer
	// of a non-idempotent call; guarded by mu, because a call may end before its run.
	memory      *inbound.Request
	answerBytes int
	// replay is the size of the replay buffer, and maxReplay its bound; guarded by mu.
	replay    int
	maxReplay int
	// retained is what a finished attempt takes; guarded by the mutex of the server.
	retained int

	mu                sync.Mutex
	sender            *stream.Sender
	currentConnection uint64        // number of the connection that may send chunks
	attached          bool          // whether that connection is open
	changed           chan struct{} // closed and replaced on each change

	received     chan struct{} // closed when an entry has closed its connection after the end chunk
	receivedOnce sync.Once
}

func newAttempt(id *pb.AttemptId, replayBytes int, cancel context.CancelFunc) *attempt {
	return &attempt{
		id:       id,
		cancel:   cancel,
		sender:   stream.NewSender(id, replayBytes),
		changed:  make(chan struct{}),
		received: make(chan struct{}),
	}
}

// attach makes a new connection the only one that sends chunks, starting at
// sequence number nextSeq. It returns the number of the connection.
func (a *attempt) attach(nextSeq uint64) (uint64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.sender.Resume(nextSeq); err != nil {
		return 0, err
	}
	a.currentConnection++
	a.attached = true
	a.notifyWaiters()
	return a.currentConnection, nil
}

// detach marks the connection as closed and reports whether it was the current
// one.
func (a *attempt) detach(connection uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.currentConnection != connection {
		return false
	}
	a.attached = false
	return true
}

// isAbandoned reports whether the given connection was closed and no other one
// has attached since.
func (a *attempt) isAbandoned(connection uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.currentConnection == connection && !a.attached
}

// nextChunk returns the next chunk for the connection. If none is available, it
// returns a channel that is closed on the next change. done reports that the
// connection has nothing more to send.
func (a *attempt) nextChunk(connection uint64) (chunk *pb.Chunk, changed <-chan struct{}, done bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.currentConnection != connection {
		return nil, nil, true
	}
	if c := a.sender.Next(); c != nil {
		a.notifyWaiters()
		return c, nil, false
	}
	return nil, a.changed, a.sender.Drained()
}

// endSent reports whether the end chunk was passed to a connection. If it was
// not, the returned channel is closed on the next change.
func (a *attempt) endSent() (bool, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sender.Drained(), a.changed
}

// awaitsClose reports whether the connection is the current one and has sent the
// end chunk. The returned channel is closed on the next change.
func (a *attempt) awaitsClose(connection uint64) (<-chan struct{}, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed, a.currentConnection == connection && a.sender.Drained()
}

// close records that an entry closed its connection after the end chunk.
func (a *attempt) close() { a.receivedOnce.Do(func() { close(a.received) }) }

// appendHead appends the head of the response.
func (a *attempt) appendHead(ctx context.Context, head *pb.Head) error {
	return a.appendBlocking(ctx, 0, func() bool { return a.sender.Head(head) })
}

// appendData appends a part of the response body and takes ownership of b.
func (a *attempt) appendData(ctx context.Context, b []byte) error {
	return a.appendBlocking(ctx, len(b), func() bool { return a.sender.Data(b) })
}

// appendEnd appends the end chunk.
func (a *attempt) appendEnd(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sender.End(err)
	a.notifyWaiters()
}

// appendBlocking retries tryAppend until the replay buffer has room for a chunk with n bytes
// of data.
func (a *attempt) appendBlocking(ctx context.Context, n int, tryAppend func() bool) error {
	for {
		a.mu.Lock()
		a.extendReplay(n)
		if tryAppend() {
			a.notifyWaiters()
			a.mu.Unlock()
			return nil
		}
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return errkind.Wrap(errkind.Canceled, context.Cause(ctx), "replay buffer is full")
		}
	}
}

// notifyWaiters wakes all goroutines that wait for a change. The caller holds mu.
func (a *attempt) notifyWaiters() {
	close(a.changed)
	a.changed = make(chan struct{})
}
