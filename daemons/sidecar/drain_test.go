package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
)

// newBlackholeProxy forwards one connection to server. Once dropping is set, it
// discards the bytes that the server sends and keeps the connection open.
func newBlackholeProxy(t *testing.T, server string) (address string, dropping *atomic.Bool) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	dropping = new(atomic.Bool)
	go func() {
		clientConn, err := l.Accept()
		if err != nil {
			return
		}
		serverConn, err := net.Dial("tcp", server)
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(serverConn, clientConn) }()
		b := make([]byte, 1<<10)
		for {
			n, err := serverConn.Read(b)
			if err != nil {
				return
			}
			if !dropping.Load() {
				_, _ = clientConn.Write(b[:n])
			}
		}
	}()
	return l.Addr().String(), dropping
}

// Guards against a sidecar that exits after it sent the end chunk on a connection
// that no longer delivers data, before the entry can resume.
func TestDrainKeepsUnreceivedResponse(t *testing.T) {
	for _, resumed := range []bool{true, false} {
		gate := make(chan struct{})
		f := newFixture(t, gatedEventStream(gate, "data: [DONE]\n\n"))
		address, dropping := newBlackholeProxy(t, f.address)
		proxiedClient := filbertmuxv1connect.NewSidecarServiceClient(&http.Client{Transport: &http.Transport{}}, "http://"+address)
		ctx, disconnect := context.WithCancel(context.Background())
		defer disconnect()
		in, err := proxiedClient.Call(ctx, connect.NewRequest(newCall("r1", true)))
		require.NoError(t, err)
		r := newReceiver("r1")
		got := readChunks(in, r, 2)
		f.server.gate.Terminate()
		require.True(t, in.Receive(), "the sidecar did not announce that it is draining")
		dropping.Store(true)
		a := f.server.findAttempt(r.ID())
		close(gate)
		for sent, changed := a.endSent(); !sent; sent, changed = a.endSent() {
			<-changed
		}
		select {
		case <-f.server.gate.Stopped():
			t.Fatal("the sidecar stopped before the entry could resume")
		case <-time.After(100 * time.Millisecond):
		}
		if !resumed {
			f.server.Abort() // as after the drain timeout
			<-f.server.gate.Stopped()
			continue
		}
		resumeContext, closeResumed := context.WithCancel(context.Background())
		resumedStream, err := f.client.Resume(resumeContext, connect.NewRequest(&pb.ResumeRequest{Id: r.ID(), NextSeq: r.NextSeq()}))
		require.NoError(t, err)
		got += readChunks(resumedStream, r, allChunks)
		require.True(t, r.Complete(), "%v", r.Err())
		require.Equal(t, "data: one\n\ndata: two\n\ndata: [DONE]\n\n", got)
		closeResumed()
		<-f.server.gate.Stopped()
	}
}
