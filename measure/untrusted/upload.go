package untrusted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
)

// LargeChunk and SmallChunk are the sizes of chunks.
const (
	LargeChunk = 64 << 10
	SmallChunk = 8
)

// Upload is what a client sends after the head of its request.
type Upload struct {
	// Declared is the value of Content-Length, or negative for a body in chunks.
	Declared int
	// Chunk is the size of the chunks, or of the writes of a body with a length.
	Chunk int
	// Size is the number of bytes of the body that are sent. If it is below the whole
	// body, the client keeps the connection open without sending the rest.
	Size int
	// Complete ends a chunked body.
	Complete bool
}

// Framing returns the header line that frames the body.
func (u Upload) Framing() string {
	if u.Declared >= 0 {
		return "Content-Length: " + strconv.Itoa(u.Declared)
	}
	return "Transfer-Encoding: chunked"
}

// Send writes an upload until it has been sent or the connection ends, and counts the
// bytes of the body. The daemon may respond early, so responses are read and dropped.
func (u Upload) Send(conn net.Conn, head string, sentBytes *atomic.Int64) {
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	out := bufio.NewWriterSize(conn, LargeChunk)
	piece := strings.Repeat("x", u.Chunk)
	for sent := 0; sent < u.Size; {
		n := min(u.Chunk, u.Size-sent)
		text := piece[:n]
		if u.Declared < 0 {
			text = fmt.Sprintf("%x\r\n%s\r\n", n, text)
		}
		if _, err := out.WriteString(text); err != nil {
			return
		}
		sent += n
		sentBytes.Add(int64(n))
	}
	if u.Declared < 0 && u.Complete {
		_, _ = out.WriteString("0\r\n\r\n")
	}
	_ = out.Flush()
}
