package upstream

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// FuzzReadResponse guards against a crash of the response reader, and against reading
// more of a response header than the limit.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nT: v\r\n\r\n"), true)
	f.Add([]byte("HTTP/1.1 100 \r\n"), true)
	f.Fuzz(func(t *testing.T, data []byte, repeat bool) {
		client, server := net.Pipe()
		defer func() { _ = client.Close() }()
		written := make(chan int, 1)
		go func() {
			total := 0
			for range 1000 {
				n, err := server.Write(data)
				total += n
				if err != nil || !repeat || len(data) == 0 {
					break
				}
			}
			_ = server.Close()
			written <- total
		}()
		conn := newConn("server", client)
		conn.SetDeadline(time.Now().Add(time.Second))
		resp, err := conn.ReadResponse(http.MethodGet, func(*http.Response) bool { return true })
		if err != nil {
			conn.Close()
			require.LessOrEqual(t, <-written, maxHeaderBytes+readBufferSize)
			return
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBody))
		_ = resp.Body.Close()
	})
}
