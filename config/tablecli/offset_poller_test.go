package tablecli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
)

// instanceServer serves /statusz for many instances on loopback addresses.
type instanceServer struct {
	list    []infra.Instance
	number  map[string]int // by address
	offset  func(n int) infra.Offset
	hangs   func(n int) bool
	release chan struct{}

	answered, hung atomic.Int64 // requests
	mu             sync.Mutex
	openConns      map[net.Conn]bool
	maxOpen        int
}

func startInstances(t *testing.T, count int) *instanceServer {
	srv := &instanceServer{number: make(map[string]int), release: make(chan struct{}), openConns: make(map[net.Conn]bool)}
	httpServer := &http.Server{Handler: srv, ConnState: srv.connState, ReadHeaderTimeout: time.Minute}
	for n := range count {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", 2+n%8))
		require.NoError(t, err)
		srv.number[l.Addr().String()] = n
		srv.list = append(srv.list, infra.Instance{ID: fmt.Sprintf("i%d", n), Address: l.Addr().String()})
		go func() { _ = httpServer.Serve(l) }()
	}
	t.Cleanup(func() {
		close(srv.release)
		_ = httpServer.Close()
	})
	return srv
}

func (srv *instanceServer) connState(c net.Conn, s http.ConnState) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if s == http.StateNew {
		srv.openConns[c] = true
	}
	if s == http.StateClosed {
		delete(srv.openConns, c)
	}
	srv.maxOpen = max(srv.maxOpen, len(srv.openConns))
}

func (srv *instanceServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	address := r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
	n := srv.number[address]
	if srv.hangs(n) {
		srv.hung.Add(1)
		select {
		case <-srv.release:
		case <-r.Context().Done():
		}
		return
	}
	srv.answered.Add(1)
	_, _ = fmt.Fprintf(w, `{"table_offset":%d}`, srv.offset(n))
}

func (srv *instanceServer) Instances(context.Context) ([]infra.Instance, error) { return srv.list, nil }

// Guards against a publish --wait that opens sockets to 930 instances without a
// limit, polls an instance again or lists it as late after it has reported the
// offset, or exceeds its timeout because some instances do not respond.
func TestWaitAtManyInstances(t *testing.T) {
	const count, hung, offset = 930, 40, 7
	server := startInstances(t, count)
	server.hangs = func(n int) bool { return n%(count/hung) == 3 && n/(count/hung) < hung }
	server.offset = func(int) infra.Offset { return offset }
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	start := time.Now()
	var canceled time.Time
	go func() {
		// The context is cancelled in the middle of a round, after all responsive
		// instances have answered and two rounds of requests to the others.
		for server.answered.Load() < count-hung {
			time.Sleep(10 * time.Millisecond)
		}
		for least := server.hung.Load() + 2*hung + hung/2; server.hung.Load() < least; {
			time.Sleep(10 * time.Millisecond)
		}
		canceled = time.Now()
		cancel()
	}()
	poller := newOffsetPoller(statusRequestTimeout)
	defer poller.close()
	err := waitUntilApplied(ctx, server, poller, offset, io.Discard)
	took := time.Since(start)
	require.True(t, errkind.Is(err, errkind.WaitTimeout), "%v", err)
	require.ErrorContains(t, err, fmt.Sprintf("%d instance(s) have not reported table offset %d: i3 i26 ", hung, offset))
	require.ErrorContains(t, err, fmt.Sprintf("and %d more", hung-maxListedIDs))
	t.Logf("the command returned %.3f s after its timeout", time.Since(canceled).Seconds())
	server.mu.Lock()
	most := server.maxOpen
	server.mu.Unlock()
	// The server may see a socket as open for a moment after the client has
	// closed it.
	require.LessOrEqual(t, most, 5*maxConcurrentRequests/2)
	t.Logf("%d instances, %d of them unresponsive: %.2f s, %d requests, at most %d sockets", count, hung, took.Seconds(), server.answered.Load()+server.hung.Load(), most)
}

// Guards against a wait that continues after the last instance has reported the
// offset.
func TestWaitEndsWhenLastInstanceReports(t *testing.T) {
	const count = 930
	server := startInstances(t, count)
	server.hangs = func(int) bool { return false }
	start := time.Now()
	var late atomic.Int64
	server.offset = func(n int) infra.Offset {
		if n%100 == 0 && time.Since(start) < time.Second {
			late.Add(1)
			return 6
		}
		return 7
	}
	var out bytes.Buffer
	poller := newOffsetPoller(time.Minute)
	defer poller.close()
	require.NoError(t, waitUntilApplied(t.Context(), server, poller, 7, &out))
	require.Equal(t, "in force on 930 instance(s)\n", out.String())
	require.EqualValues(t, count+late.Load(), server.answered.Load(), "an instance that has reported is not polled again")
	t.Logf("in force on all instances after 1 s; detected after %.2f s, %d requests", time.Since(start).Seconds(), server.answered.Load())
}

// Guards against a status that omits an instance which is behind or does not
// respond.
func TestStatusListsInstancesBehind(t *testing.T) {
	const count = 100
	server := startInstances(t, count)
	server.hangs = func(int) bool { return false }
	server.offset = func(n int) infra.Offset {
		if n == 50 {
			panic(http.ErrAbortHandler)
		}
		return infra.Offset(7 - n/99)
	}
	var out bytes.Buffer
	poller := newOffsetPoller(time.Minute)
	defer poller.close()
	require.NoError(t, printInstances(t.Context(), server, poller, 7, &out))
	require.Equal(t, "in force on 98 of 100 instance(s)\nnot reported by: i50 i99\n", out.String())
}
