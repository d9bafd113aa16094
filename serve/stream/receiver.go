package stream

import (
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// ReceiverConfig holds the bounds of a Receiver.
type ReceiverConfig struct {
	// MaxPending bounds how far ahead of the next expected chunk a chunk is
	// buffered.
	MaxPending int
	// SilenceTimeout is the time without any chunk, including heartbeats, after
	// which the connection counts as silent.
	SilenceTimeout time.Duration
	// ProgressTimeout is the time without a new numbered chunk in order after
	// which the response counts as stalled.
	ProgressTimeout time.Duration
}

// Liveness is the state of the connection as seen by the receiver.
type Liveness uint8

// Liveness values.
const (
	// Alive means that chunks or heartbeats arrive in time.
	Alive Liveness = iota
	// Silent means that nothing arrives. Resuming on a new connection may help.
	Silent
	// Stalled means that the response makes no progress, with or without heartbeats.
	Stalled
)

// Stats counts dropped chunks. Superseded counts chunks of other attempts and
// those after the end of the response, BeyondGap those that exceed MaxPending.
type Stats struct {
	Duplicates int
	Superseded int
	BeyondGap  int
}

// Receiver reassembles the response of one attempt.
type Receiver struct {
	cfg ReceiverConfig
	id  *pb.AttemptId

	nextSeq uint64
	pending map[uint64]*pb.Chunk

	headSeen  bool
	dataBytes uint64
	hash      *xxh3.Hasher
	complete  bool
	err       error

	lastChunkAt    time.Time
	lastProgressAt time.Time
	stats          Stats
}

// NewReceiver returns a receiver for the attempt id. If the incarnation in id is
// empty, the first chunk of the attempt sets it.
func NewReceiver(id *pb.AttemptId, cfg ReceiverConfig, now time.Time) *Receiver {
	ownID := &pb.AttemptId{RequestId: id.GetRequestId(), Attempt: id.GetAttempt(), Incarnation: id.GetIncarnation()}
	return &Receiver{
		cfg: cfg, id: ownID, nextSeq: 1, pending: make(map[uint64]*pb.Chunk),
		hash: xxh3.New(), lastChunkAt: now, lastProgressAt: now,
	}
}

// Receive handles a chunk from a connection and returns the head and data chunks
// that are now in order. Complete and Err then tell whether and how the response
// ended.
func (r *Receiver) Receive(now time.Time, c *pb.Chunk) []*pb.Chunk {
	if r.Finished() || !r.acceptsAttempt(c.GetId()) {
		r.stats.Superseded++
		return nil
	}
	r.lastChunkAt = now
	if c.GetSeq() == 0 {
		return nil
	}
	if !r.addPending(c) {
		return nil
	}
	return r.takeReady(now)
}

// Complete reports whether the whole response was received and verified.
func (r *Receiver) Complete() bool { return r.complete }

// Err returns the error that ended the response, or nil.
func (r *Receiver) Err() error { return r.err }

// Finished reports whether the response ended, complete or with an error.
func (r *Receiver) Finished() bool { return r.complete || r.err != nil }

// ID returns a copy of the attempt id, which another goroutine may send. The
// incarnation may be empty before the first chunk.
func (r *Receiver) ID() *pb.AttemptId { return proto.CloneOf(r.id) }

// NextSeq returns the next expected sequence number.
func (r *Receiver) NextSeq() uint64 { return r.nextSeq }

// Stats returns the counts of dropped chunks.
func (r *Receiver) Stats() Stats { return r.stats }

// Reconnected restarts the silence timeout for a new connection. The progress
// timeout continues.
func (r *Receiver) Reconnected(now time.Time) { r.lastChunkAt = now }

// Liveness returns the liveness at now.
func (r *Receiver) Liveness(now time.Time) Liveness {
	switch {
	case !now.Before(r.lastProgressAt.Add(r.cfg.ProgressTimeout)):
		return Stalled
	case !now.Before(r.lastChunkAt.Add(r.cfg.SilenceTimeout)):
		return Silent
	default:
		return Alive
	}
}

// Deadline returns the time at which Liveness stops being Alive if no chunk
// arrives until then.
func (r *Receiver) Deadline() time.Time {
	silent := r.lastChunkAt.Add(r.cfg.SilenceTimeout)
	stalled := r.lastProgressAt.Add(r.cfg.ProgressTimeout)
	if silent.Before(stalled) {
		return silent
	}
	return stalled
}

// acceptsAttempt reports whether a chunk belongs to the attempt. The first such
// chunk sets the incarnation if it is empty.
func (r *Receiver) acceptsAttempt(id *pb.AttemptId) bool {
	if id.GetRequestId() != r.id.GetRequestId() || id.GetAttempt() != r.id.GetAttempt() {
		return false
	}
	if r.id.GetIncarnation() == "" {
		r.id.Incarnation = id.GetIncarnation()
	}
	return id.GetIncarnation() == r.id.GetIncarnation()
}

func (r *Receiver) addPending(c *pb.Chunk) bool {
	if c.GetSeq() < r.nextSeq || r.pending[c.GetSeq()] != nil {
		r.stats.Duplicates++
		return false
	}
	if c.GetSeq()-r.nextSeq > uint64(r.cfg.MaxPending) {
		r.stats.BeyondGap++
		return false
	}
	r.pending[c.GetSeq()] = c
	return true
}

func (r *Receiver) takeReady(now time.Time) []*pb.Chunk {
	var ready []*pb.Chunk
	for !r.Finished() {
		c := r.pending[r.nextSeq]
		if c == nil {
			break
		}
		delete(r.pending, r.nextSeq)
		r.nextSeq++
		r.lastProgressAt = now
		if r.handleChunk(c) {
			ready = append(ready, c)
		}
	}
	return ready
}

// handleChunk handles the chunk that is next in order and reports whether Receive
// returns it.
func (r *Receiver) handleChunk(c *pb.Chunk) bool {
	switch kind := c.GetKind().(type) {
	case *pb.Chunk_Head:
		return r.handleHead()
	case *pb.Chunk_Data:
		return r.handleData(kind.Data)
	case *pb.Chunk_End:
		r.handleEnd(c.GetSeq(), kind.End)
	default:
		r.fail("chunk %d has an unknown kind", c.GetSeq())
	}
	return false
}

func (r *Receiver) handleHead() bool {
	if r.headSeen {
		r.fail("chunk %d is a second head", r.nextSeq-1)
		return false
	}
	r.headSeen = true
	return true
}

func (r *Receiver) handleData(data []byte) bool {
	if !r.headSeen {
		r.fail("data chunk before the head")
		return false
	}
	r.dataBytes += uint64(len(data))
	_, _ = r.hash.Write(data)
	return true
}

func (r *Receiver) handleEnd(seq uint64, end *pb.End) {
	if err := ErrorFromEnd(end); err != nil {
		r.err = err
		return
	}
	switch {
	case !r.headSeen:
		r.fail("end chunk before the head")
	case end.GetTotalChunks() != seq:
		r.fail("%d chunks announced, %d received", end.GetTotalChunks(), seq)
	case end.GetTotalBytes() != r.dataBytes:
		r.fail("%d bytes announced, %d received", end.GetTotalBytes(), r.dataBytes)
	case end.GetChecksum() != r.hash.Sum64():
		r.fail("checksum mismatch")
	default:
		r.complete = true
	}
}

func (r *Receiver) fail(format string, args ...any) {
	r.err = errkind.New(errkind.StreamIncomplete, format, args...)
}
