package stream

import (
	"time"

	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// ReceiverConfig bounds a receiver.
type ReceiverConfig struct {
	// MaxPending is the number of chunks held ahead of a gap.
	MaxPending int
	// SilenceTimeout is the longest time without any chunk, heartbeats
	// included. After it the connection counts as silent.
	SilenceTimeout time.Duration
	// ProgressTimeout is the longest time without a new numbered chunk.
	ProgressTimeout time.Duration
}

// Liveness is the receiver's view of its connection at one time.
type Liveness uint8

// Liveness values.
const (
	// Alive means that chunks or heartbeats arrive in time.
	Alive Liveness = iota
	// Silent means that nothing arrives; resuming on a new connection may help.
	Silent
	// Stalled means that the answer makes no progress in spite of heartbeats.
	Stalled
)

// Stats counts dropped chunks.
type Stats struct {
	Duplicates int
	Superseded int
	BeyondGap  int
}

// Receiver reassembles the answer of one attempt.
type Receiver struct {
	cfg ReceiverConfig
	id  *pb.AttemptId

	next    uint64
	pending map[uint64]*pb.Chunk

	headSeen  bool
	dataBytes uint64
	hash      *xxh3.Hasher
	complete  bool
	err       error

	lastHeard    time.Time
	lastProgress time.Time
	stats        Stats
}

// NewReceiver returns a receiver for the attempt id. An empty incarnation in id
// is set by the first chunk of the attempt.
func NewReceiver(id *pb.AttemptId, cfg ReceiverConfig, now time.Time) *Receiver {
	own := &pb.AttemptId{RequestId: id.GetRequestId(), Attempt: id.GetAttempt(), Incarnation: id.GetIncarnation()}
	return &Receiver{
		cfg: cfg, id: own, next: 1, pending: make(map[uint64]*pb.Chunk),
		hash: xxh3.New(), lastHeard: now, lastProgress: now,
	}
}

// Receive takes one chunk from a connection and returns the head and data
// chunks that are now in order. After it, Complete and Err tell how the answer
// ended, if it did.
func (r *Receiver) Receive(now time.Time, c *pb.Chunk) []*pb.Chunk {
	if r.Finished() || !r.accepts(c.GetId()) {
		r.stats.Superseded++
		return nil
	}
	r.lastHeard = now
	if c.GetSeq() == 0 {
		return nil
	}
	if !r.hold(c) {
		return nil
	}
	return r.release(now)
}

// Complete reports whether the whole answer was delivered and verified.
func (r *Receiver) Complete() bool { return r.complete }

// Err returns the error that ended the answer, or nil.
func (r *Receiver) Err() error { return r.err }

// Finished reports whether the answer ended, complete or not.
func (r *Receiver) Finished() bool { return r.complete || r.err != nil }

// ID returns a copy of the attempt, which another goroutine may send; the
// incarnation is empty before the first chunk.
func (r *Receiver) ID() *pb.AttemptId { return proto.CloneOf(r.id) }

// NextSeq returns the first sequence number that was not delivered.
func (r *Receiver) NextSeq() uint64 { return r.next }

// Stats returns the counts of dropped chunks.
func (r *Receiver) Stats() Stats { return r.stats }

// Reconnected restarts the silence timeout for a new connection. It does not
// touch the progress deadline.
func (r *Receiver) Reconnected(now time.Time) { r.lastHeard = now }

// Liveness returns the liveness at now.
func (r *Receiver) Liveness(now time.Time) Liveness {
	switch {
	case !now.Before(r.lastProgress.Add(r.cfg.ProgressTimeout)):
		return Stalled
	case !now.Before(r.lastHeard.Add(r.cfg.SilenceTimeout)):
		return Silent
	default:
		return Alive
	}
}

// Deadline returns the time at which Check first differs from Alive if nothing
// arrives before it.
func (r *Receiver) Deadline() time.Time {
	silent := r.lastHeard.Add(r.cfg.SilenceTimeout)
	stalled := r.lastProgress.Add(r.cfg.ProgressTimeout)
	if silent.Before(stalled) {
		return silent
	}
	return stalled
}

// accepts pins the incarnation with the first chunk of the attempt.
func (r *Receiver) accepts(id *pb.AttemptId) bool {
	if id.GetRequestId() != r.id.GetRequestId() || id.GetAttempt() != r.id.GetAttempt() {
		return false
	}
	if r.id.GetIncarnation() == "" {
		r.id.Incarnation = id.GetIncarnation()
	}
	return id.GetIncarnation() == r.id.GetIncarnation()
}

func (r *Receiver) hold(c *pb.Chunk) bool {
	if c.GetSeq() < r.next || r.pending[c.GetSeq()] != nil {
		r.stats.Duplicates++
		return false
	}
	if c.GetSeq()-r.next > uint64(r.cfg.MaxPending) {
		r.stats.BeyondGap++
		return false
	}
	r.pending[c.GetSeq()] = c
	return true
}

func (r *Receiver) release(now time.Time) []*pb.Chunk {
	var ready []*pb.Chunk
	for !r.Finished() {
		c := r.pending[r.next]
		if c == nil {
			break
		}
		delete(r.pending, r.next)
		r.next++
		r.lastProgress = now
		if r.take(c) {
			ready = append(ready, c)
		}
	}
	return ready
}

// take applies the chunk that is next in order and reports whether the owner
// should see it.
func (r *Receiver) take(c *pb.Chunk) bool {
	switch kind := c.GetKind().(type) {
	case *pb.Chunk_Head:
		return r.takeHead()
	case *pb.Chunk_Data:
		return r.takeData(kind.Data)
	case *pb.Chunk_End:
		r.takeEnd(c.GetSeq(), kind.End)
	default:
		r.fail("chunk %d has an unknown kind", c.GetSeq())
	}
	return false
}

func (r *Receiver) takeHead() bool {
	if r.headSeen {
		r.fail("second head in chunk %d", r.next-1)
		return false
	}
	r.headSeen = true
	return true
}

func (r *Receiver) takeData(data []byte) bool {
	if !r.headSeen {
		r.fail("data before the head")
		return false
	}
	r.dataBytes += uint64(len(data))
	_, _ = r.hash.Write(data)
	return true
}

func (r *Receiver) takeEnd(seq uint64, end *pb.End) {
	if err := ErrorFromEnd(end); err != nil {
		r.err = err
		return
	}
	switch {
	case !r.headSeen:
		r.fail("end before the head")
	case end.GetTotalChunks() != seq:
		r.fail("%d chunks announced, %d received", end.GetTotalChunks(), seq)
	case end.GetTotalBytes() != r.dataBytes:
		r.fail("%d bytes announced, %d received", end.GetTotalBytes(), r.dataBytes)
	case end.GetChecksum() != r.hash.Sum64():
		r.fail("checksum differs")
	default:
		r.complete = true
	}
}

func (r *Receiver) fail(format string, args ...any) {
	r.err = errkind.New(errkind.StreamIncomplete, format, args...)
}
