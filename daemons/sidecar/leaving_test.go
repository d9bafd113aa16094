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

// swallowing forwards one connection and, once silent, drops what the server
// sends while the connection stays open.
func swallowing(t *testing.T, server string) (address string, silent *atomic.Bool) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	silent = new(atomic.Bool)
	go func() {
		near, err := l.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", server)
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(far, near) }()
		b := make([]byte, 1<<10)
		for {
			n, err := far.Read(b)
			if err != nil {
				return
			}
			if !silent.Load() {
				_, _ = near.Write(b[:n])
			}
		}
	}()
	return l.Addr().String(), silent
}

// Guards against a sidecar that exits with an answer whose end chunk went into
// a silent connection.
func TestDrainKeepsAnAnswerThatWasNotReceived(t *testing.T) {
	for _, resumed := range []bool{true, false} {
		gate := make(chan struct{})
		f := newFixture(t, gatedEvents(gate, "data: [DONE]\n\n"))
		address, silent := swallowing(t, f.address)
		through := filbertmuxv1connect.NewSidecarServiceClient(&http.Client{Transport: &http.Transport{}}, "http://"+address)
		ctx, disconnect := context.WithCancel(context.Background())
		defer disconnect()
		in, err := through.Call(ctx, connect.NewRequest(call("r1", true)))
		require.NoError(t, err)
		r := newReceiver("r1")
		got := read(in, r, 2)
		f.server.gate.Terminate()
		require.True(t, in.Receive(), "leaving is announced")
		silent.Store(true)
		a := f.server.find(r.ID())
		close(gate)
		for sent, changed := a.sent(); !sent; sent, changed = a.sent() {
			<-changed
		}
		select {
		case <-f.server.gate.Stopped():
			t.Fatal("the sidecar exits before the entry can resume")
		case <-time.After(100 * time.Millisecond):
		}
		if !resumed {
			f.server.Abort() // the drain timeout
			<-f.server.gate.Stopped()
			continue
		}
		again, leave := context.WithCancel(context.Background())
		on, err := f.client.Resume(again, connect.NewRequest(&pb.ResumeRequest{Id: r.ID(), NextSeq: r.NextSeq()}))
		require.NoError(t, err)
		got += read(on, r, all)
		require.True(t, r.Complete(), "%v", r.Err())
		require.Equal(t, "data: one\n\ndata: two\n\ndata: [DONE]\n\n", got)
		leave()
		<-f.server.gate.Stopped()
	}
}
