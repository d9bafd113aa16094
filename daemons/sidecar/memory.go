package sidecar

import (
	"context"
	"io"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/daemons/inbound"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/stream"
)

const (
	// memoryShare is the part of the instance's memory that a sidecar may use, because the
	// backend server has the rest.
	memoryShare = 1.0 / 8
	// ownSockets is the number of sockets for the listener, the platform and other sidecars.
	ownSockets = 48
	// socketsPerCaller is the number of sockets for each connection: itself, and one to the
	// backend server.
	socketsPerCaller = 2
	// callCopies is the number of copies of a call: in the buffer that it is read into, which
	// doubles as it grows, as a message, and with its priority.
	callCopies = 4
	// firstReplayBytes is the first size of a replay buffer. It doubles as the response
	// grows, as long as there is memory.
	firstReplayBytes = 4 << 10
	// retainedShare is the part of the memory for requests that the replay buffers of
	// finished attempts may take.
	retainedShare = 0.5
	// firstAnswerBytes is the first size of the buffer for an answer of unknown length.
	firstAnswerBytes = 4 << 10
	// answerWait is how long the answer of a non-idempotent call waits for memory, and
	// answerPoll the time between two tries.
	answerWait = 2 * time.Second
	answerPoll = 20 * time.Millisecond
)

// memoryLimit returns the memory limit of a sidecar in bytes.
func memoryLimit(s settings.Sidecar) int64 {
	if s.MemoryLimit > 0 {
		return s.MemoryLimit
	}
	return int64(memoryShare * float64(inbound.InstanceMemory()))
}

// SoftMemoryLimit returns the soft memory limit of the runtime for a sidecar, in bytes.
func SoftMemoryLimit(s settings.Sidecar) int64 { return inbound.SoftMemoryLimit(memoryLimit(s)) }

// maxConnections returns the number of connections of other processes.
func maxConnections(s settings.Sidecar) int {
	if s.MaxConnections > 0 {
		return s.MaxConnections
	}
	return max(inbound.Sockets(0)-ownSockets, ownSockets) / socketsPerCaller
}

// readOptions says how calls are read.
func (s *Server) readOptions() inbound.ReadOptions {
	return inbound.ReadOptions{Organisation: peerOrganisation, MaxBody: s.maxMessageBytes(), Copies: callCopies}
}

// peerOrganisation owns all calls: they come from the entries, which divide their memory among
// organisations.
const peerOrganisation = "entries"

// maxMessageBytes returns the largest message in bytes.
func (s *Server) maxMessageBytes() int { return s.settings.MaxBodyBytes + messageOverheadBytes }

// wrapRefusal makes the refusal of a call whose body is read the error of its stream.
func wrapRefusal(err *errkind.Error) error {
	return connect.NewError(err.Kind.Attributes().ConnectCode, err)
}

// useMemory makes the memory of the call's request that of the attempt.
func (a *attempt) useMemory(q *inbound.Request, replayBytes int) {
	if q == nil {
		return
	}
	q.Take()
	a.memory, a.maxReplay, a.replay = q, replayBytes, min(firstReplayBytes, replayBytes)
	a.sender.SetMaxBytes(a.replay)
}

// extendReplay doubles the replay buffer until a chunk with n bytes of data fits beside the
// earlier ones, if there is memory. Otherwise sent chunks are dropped for it. The caller holds
// mu.
func (a *attempt) extendReplay(n int) {
	need := a.sender.BufferedBytes() + stream.SizeOf(n)
	for a.memory != nil && a.replay < min(need, a.maxReplay) {
		size := min(2*a.replay, a.maxReplay)
		if !a.memory.TryGrow(size - a.replay) {
			return
		}
		a.replay = size
		a.sender.SetMaxBytes(size)
	}
}

// retain gives back what a finished attempt doesn't need for replay, and returns what it
// keeps.
func (a *attempt) retain() int {
	if a.memory == nil {
		return 0
	}
	a.memory.ReleaseBody()
	a.memory.ReleaseProgress(min(firstReplayBytes, a.maxReplay))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.memory.Shrink(a.answerBytes)
	buffered := a.sender.BufferedBytes()
	if a.replay > max(buffered, firstReplayBytes) {
		a.memory.Shrink(a.replay - buffered)
		a.replay = buffered
	}
	return a.replay
}

// retainFinished keeps a finished attempt for replay, and removes the oldest ones that don't
// fit beside it. An entry that still wants one of them gets an incomplete response.
func (s *Server) retainFinished(a *attempt) {
	kept := a.retain()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts[keyOf(a.id)] != a {
		return
	}
	a.retained = kept
	s.retained += kept
	s.finished = append(s.finished, a)
	for s.retained > s.maxRetained {
		s.removeLocked(s.finished[0])
	}
}

// removeLocked removes an attempt. The caller holds mu.
func (s *Server) removeLocked(a *attempt) {
	if s.attempts[keyOf(a.id)] != a {
		return
	}
	delete(s.attempts, keyOf(a.id))
	s.retained -= a.retained
	for i, f := range s.finished {
		if f == a {
			s.finished = append(s.finished[:i], s.finished[i+1:]...)
			break
		}
	}
	a.memory.Close()
}

// releaseBody gives the memory of the call's body back, once the backend server has begun to
// respond.
func (a *attempt) releaseBody(call *pb.CallRequest) {
	call.Body = nil
	if a.memory != nil {
		a.memory.ReleaseBody()
	}
}

// readAnswer reads an answer up to limit bytes. length is its size if that is known.
func (a *attempt) readAnswer(ctx context.Context, src io.Reader, length int64, limit int) ([]byte, error) {
	size := firstAnswerBytes
	if length > 0 {
		size = int(min(length+1, int64(limit))) // one more byte, for the end
	}
	var answer []byte
	for {
		if len(answer) == cap(answer) {
			if len(answer) >= limit {
				return answer, nil
			}
			size = min(max(size, 2*len(answer)), limit)
			if err := a.awaitMemory(ctx, size-cap(answer)); err != nil {
				return nil, err
			}
			answer = append(make([]byte, 0, size), answer...)
		}
		n, err := src.Read(answer[len(answer):cap(answer)])
		answer = answer[:len(answer)+n]
		if errors.Is(err, io.EOF) {
			return answer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// awaitMemory claims n bytes for an answer. The call has run, so it waits for them for a
// while.
func (a *attempt) awaitMemory(ctx context.Context, n int) error {
	for until := time.Now().Add(answerWait); a.memory != nil && !a.memory.TryGrow(n); {
		if time.Now().After(until) || !clock.Sleep(ctx, answerPoll) {
			return errkind.New(errkind.BackendFailed, "no memory for %d bytes of the response", n)
		}
	}
	// The call of a booking may end before its run does.
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answerBytes += n
	return nil
}
