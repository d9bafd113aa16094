package stream

import (
	"github.com/zeebo/xxh3"

	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// chunkOverheadBytes is charged for each buffered chunk beside its data, so
// that many empty chunks can't exceed the bound.
const chunkOverheadBytes = 64

// Sender numbers the chunks of one attempt and buffers them for replay.
type Sender struct {
	id       *pb.AttemptId
	maxBytes int

	buffer      []*pb.Chunk // consecutive sequence numbers
	bufferBytes int
	cursor      uint64 // highest sequence number handed to the connection
	last        uint64 // highest sequence number assigned
	ended       bool

	dataBytes uint64
	hash      *xxh3.Hasher
}

// NewSender returns a sender for the attempt id whose replay buffer holds at
// least one chunk and otherwise at most maxBytes.
func NewSender(id *pb.AttemptId, maxBytes int) *Sender {
	return &Sender{id: id, maxBytes: maxBytes, hash: xxh3.New()}
}

// Head appends the head chunk. It reports false, without effect, if the buffer
// is full of chunks that were not sent yet.
func (s *Sender) Head(head *pb.Head) bool {
	return s.push(&pb.Chunk{Kind: &pb.Chunk_Head{Head: head}}, chunkOverheadBytes)
}

// Data appends one data chunk and takes ownership of data. It reports false,
// without effect, if the buffer is full of chunks that were not sent yet.
func (s *Sender) Data(data []byte) bool {
	if !s.push(&pb.Chunk{Kind: &pb.Chunk_Data{Data: data}}, chunkOverheadBytes+len(data)) {
		return false
	}
	s.dataBytes += uint64(len(data))
	_, _ = s.hash.Write(data)
	return true
}

// End closes the answer: complete if err is nil, failed otherwise. The end
// chunk is accepted even if the buffer is full.
func (s *Sender) End(err error) {
	if s.ended {
		return
	}
	end := &pb.End{}
	if err != nil {
		end = EndFromError(err)
	}
	end.TotalChunks = s.last + 1
	end.TotalBytes = s.dataBytes
	end.Checksum = s.hash.Sum64()
	s.append(&pb.Chunk{Kind: &pb.Chunk_End{End: end}}, chunkOverheadBytes)
	s.ended = true
}

// Next returns the next chunk to send, or nil if there is none.
func (s *Sender) Next() *pb.Chunk {
	if s.cursor == s.last {
		return nil
	}
	s.cursor++
	return s.buffer[s.cursor-s.first()]
}

// Resume moves the sender back so that Next returns chunk next. It fails with
// StreamIncomplete if that chunk was dropped from the buffer or never existed.
func (s *Sender) Resume(next uint64) error {
	if next == 0 || next > s.last+1 || next < s.first() {
		return errkind.New(errkind.StreamIncomplete,
			"chunk %d is not in the replay buffer (%d to %d)", next, s.first(), s.last)
	}
	s.cursor = next - 1
	return nil
}

// Ended reports whether the end chunk was appended.
func (s *Sender) Ended() bool { return s.ended }

// Drained reports whether the end chunk was handed to the connection.
func (s *Sender) Drained() bool { return s.ended && s.cursor == s.last }

// Heartbeat returns a chunk without sequence number.
func (s *Sender) Heartbeat() *pb.Chunk {
	return &pb.Chunk{Id: s.id, Kind: &pb.Chunk_Heartbeat{Heartbeat: &pb.Heartbeat{}}}
}

// first returns the sequence number of the oldest buffered chunk.
func (s *Sender) first() uint64 { return s.last - uint64(len(s.buffer)) + 1 }

func (s *Sender) push(c *pb.Chunk, size int) bool {
	if s.ended || !s.makeRoom(size) {
		return false
	}
	s.append(c, size)
	return true
}

func (s *Sender) append(c *pb.Chunk, size int) {
	s.last++
	c.Id = s.id
	c.Seq = s.last
	s.buffer = append(s.buffer, c)
	s.bufferBytes += size
}

// makeRoom drops the oldest chunks that were sent. Chunks that were not sent
// are never dropped; the producer has to wait instead.
func (s *Sender) makeRoom(size int) bool {
	for len(s.buffer) > 0 && s.bufferBytes+size > s.maxBytes {
		if s.first() > s.cursor {
			return false
		}
		s.bufferBytes -= chunkOverheadBytes + len(s.buffer[0].GetData())
		s.buffer[0] = nil
		s.buffer = s.buffer[1:]
	}
	return true
}
