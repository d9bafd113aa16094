package stream

import (
	"github.com/zeebo/xxh3"

	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// chunkOverheadBytes is counted for each buffered chunk in addition to its data,
// so that many empty chunks can't exceed the bound.
const chunkOverheadBytes = 64

// Sender numbers the chunks of one attempt and buffers them for replay.
type Sender struct {
	id       *pb.AttemptId
	maxBytes int

	buffer      []*pb.Chunk // consecutive sequence numbers
	bufferBytes int
	sentSeq     uint64 // sequence number of the last chunk returned by Next; Resume lowers it
	lastSeq     uint64 // highest sequence number assigned
	ended       bool

	dataBytes uint64
	hash      *xxh3.Hasher
}

// NewSender returns a sender for the attempt id. Its replay buffer holds at most
// maxBytes, but always at least one chunk.
func NewSender(id *pb.AttemptId, maxBytes int) *Sender {
	return &Sender{id: id, maxBytes: maxBytes, hash: xxh3.New()}
}

// SetMaxBytes changes the bound of the replay buffer. A lower bound takes effect when the next
// chunks are appended.
func (s *Sender) SetMaxBytes(n int) { s.maxBytes = n }

// BufferedBytes returns the size of the replay buffer.
func (s *Sender) BufferedBytes() int { return s.bufferBytes }

// SizeOf returns what a chunk with n bytes of data takes in the replay buffer.
func SizeOf(n int) int { return chunkOverheadBytes + n }

// Head appends the head chunk. It returns false without effect if the buffer is
// full of unsent chunks or End was called.
func (s *Sender) Head(head *pb.Head) bool {
	return s.tryAppend(&pb.Chunk{Kind: &pb.Chunk_Head{Head: head}}, chunkOverheadBytes)
}

// Data appends a data chunk and takes ownership of data. It returns false without
// effect if the buffer is full of unsent chunks or End was called.
func (s *Sender) Data(data []byte) bool {
	if !s.tryAppend(&pb.Chunk{Kind: &pb.Chunk_Data{Data: data}}, chunkOverheadBytes+len(data)) {
		return false
	}
	s.dataBytes += uint64(len(data))
	_, _ = s.hash.Write(data)
	return true
}

// End appends the end chunk, which marks the response as complete if err is nil
// and as failed otherwise. The end chunk is appended even if the buffer is full.
func (s *Sender) End(err error) {
	if s.ended {
		return
	}
	end := &pb.End{}
	if err != nil {
		end = EndFromError(err)
	}
	end.TotalChunks = s.lastSeq + 1
	end.TotalBytes = s.dataBytes
	end.Checksum = s.hash.Sum64()
	s.append(&pb.Chunk{Kind: &pb.Chunk_End{End: end}}, chunkOverheadBytes)
	s.ended = true
}

// Next returns the next chunk to send, or nil if there is none.
func (s *Sender) Next() *pb.Chunk {
	if s.sentSeq == s.lastSeq {
		return nil
	}
	s.sentSeq++
	return s.buffer[s.sentSeq-s.firstSeq()]
}

// Resume rewinds the sender so that Next returns chunk next. It fails with
// StreamIncomplete if that chunk was dropped from the buffer or never existed.
func (s *Sender) Resume(next uint64) error {
	if next == 0 || next > s.lastSeq+1 || next < s.firstSeq() {
		return errkind.New(errkind.StreamIncomplete,
			"chunk %d is not in the replay buffer (%d to %d)", next, s.firstSeq(), s.lastSeq)
	}
	s.sentSeq = next - 1
	return nil
}

// Ended reports whether the end chunk was appended.
func (s *Sender) Ended() bool { return s.ended }

// Drained reports whether the end chunk was returned by Next.
func (s *Sender) Drained() bool { return s.ended && s.sentSeq == s.lastSeq }

// Heartbeat returns a heartbeat chunk, which has no sequence number.
func (s *Sender) Heartbeat() *pb.Chunk {
	return &pb.Chunk{Id: s.id, Kind: &pb.Chunk_Heartbeat{Heartbeat: &pb.Heartbeat{}}}
}

// firstSeq returns the sequence number of the oldest buffered chunk.
func (s *Sender) firstSeq() uint64 { return s.lastSeq - uint64(len(s.buffer)) + 1 }

func (s *Sender) tryAppend(c *pb.Chunk, size int) bool {
	if s.ended || !s.evictSent(size) {
		return false
	}
	s.append(c, size)
	return true
}

func (s *Sender) append(c *pb.Chunk, size int) {
	s.lastSeq++
	c.Id = s.id
	c.Seq = s.lastSeq
	s.buffer = append(s.buffer, c)
	s.bufferBytes += size
}

// evictSent drops the oldest sent chunks until size more bytes fit. It returns
// false if that would drop unsent chunks; the producer then has to wait.
func (s *Sender) evictSent(size int) bool {
	for len(s.buffer) > 0 && s.bufferBytes+size > s.maxBytes {
		if s.firstSeq() > s.sentSeq {
			return false
		}
		s.bufferBytes -= chunkOverheadBytes + len(s.buffer[0].GetData())
		s.buffer[0] = nil
		s.buffer = s.buffer[1:]
	}
	return true
}
