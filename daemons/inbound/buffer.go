package inbound

import (
	"io"

	"github.com/go-faster/errors"
)

var (
	errTooLarge = errors.New("more bytes than allowed")
	errNoRoom   = errors.New("no room for another block")
)

// Buffer holds bytes in blocks that its request has claimed. It is used by one goroutine at a
// time. Its blocks are used again after Release.
type Buffer struct {
	request *Request
	blocks  [][]byte
	// one is the array of blocks while there is a single one.
	one  [1][]byte
	size int
}

// Len returns the number of bytes.
func (b *Buffer) Len() int { return b.size }

// Blocks returns the bytes in order. The caller must not modify them.
func (b *Buffer) Blocks() [][]byte { return b.blocks }

// Release gives the bytes back. Further calls have no effect.
func (b *Buffer) Release() {
	if len(b.blocks) == 0 {
		return
	}
	b.request.releaseBlocks(b.blocks)
	b.clear()
}

// clear drops the blocks, so that the garbage collector may have them.
func (b *Buffer) clear() {
	b.blocks, b.one[0], b.size = nil, nil, 0
}

// fill reads src to its end, with at most limit bytes. length is the number of bytes if it is
// known, otherwise 0 or less. If wait is set, the body of the request is read, which waits
// for blocks, and which may not exceed the limit; otherwise fill returns errNoRoom at the
// limit or without a block.
func (b *Buffer) fill(src io.Reader, length int64, limit int, wait bool) error {
	for {
		room := b.room(limit)
		if len(room) == 0 {
			if err := b.extend(src, length, limit, wait); err != nil {
				return endOfBody(err)
			}
			continue
		}
		n, err := src.Read(room)
		b.append(n)
		if err != nil {
			return endOfBody(err)
		}
		if wait {
			b.request.progress(n)
		}
	}
}

// endOfBody returns nil for the end of a body.
func endOfBody(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// room returns the free part of the last block, up to the limit.
func (b *Buffer) room(limit int) []byte {
	if len(b.blocks) == 0 {
		return nil
	}
	last := b.blocks[len(b.blocks)-1]
	free := last[len(last):cap(last)]
	return free[:min(len(free), limit-b.size)]
}

// append counts n bytes that were read into the last block.
func (b *Buffer) append(n int) {
	i := len(b.blocks) - 1
	b.blocks[i] = b.blocks[i][:len(b.blocks[i])+n]
	b.size += n
}

// add adds an empty block.
func (b *Buffer) add(block []byte) {
	if b.blocks == nil {
		b.blocks = b.one[:0]
	}
	b.blocks = append(b.blocks, block[:0])
}

// extend adds a block. At the limit, and where the body should end, it returns io.EOF if it
// does.
func (b *Buffer) extend(src io.Reader, length int64, limit int, wait bool) error {
	switch {
	case b.size >= limit && !wait:
		return errNoRoom
	case b.size >= limit || length > 0 && int64(b.size) >= length:
		return expectEnd(src)
	}
	block, err := b.nextBlock(length, wait)
	if err != nil {
		return err
	}
	b.add(block)
	return nil
}

func (b *Buffer) nextBlock(length int64, wait bool) ([]byte, error) {
	if wait {
		return b.request.nextBlock()
	}
	size := BlockBytes
	if len(b.blocks) == 0 && length > 0 {
		size = int(min(length, BlockBytes))
	}
	return b.request.responseBlock(size)
}

// expectEnd returns io.EOF if src has no more bytes.
func expectEnd(src io.Reader) error {
	n, err := io.ReadFull(src, make([]byte, 1))
	if n > 0 {
		return errTooLarge
	}
	return err
}

// join returns the bytes in a slice of their own, which stays valid after Release. A block
// that isn't used again is such a slice.
func (b *Buffer) join() []byte {
	if len(b.blocks) == 1 && cap(b.blocks[0]) != BlockBytes {
		return b.blocks[0]
	}
	all := make([]byte, 0, b.size)
	for _, block := range b.blocks {
		all = append(all, block...)
	}
	return all
}
