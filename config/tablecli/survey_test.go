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

// manyInstances serves /statusz on many loopback addresses in one process.
type manyInstances struct {
	list    []infra.Instance
	number  map[string]int // by address
	offset  func(n int) infra.Offset
	hangs   func(n int) bool
	release chan struct{}

	healthy, hanging atomic.Int64 // questions
	mu               sync.Mutex
	open             map[net.Conn]bool
	mostOpen         int
}

func startInstances(t *testing.T, count int) *manyInstances {
	m := &manyInstances{number: make(map[string]int), release: make(chan struct{}), open: make(map[net.Conn]bool)}
	server := &http.Server{Handler: m, ConnState: m.connState, ReadHeaderTimeout: time.Minute}
	for n := range count {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", 2+n%8))
		require.NoError(t, err)
		m.number[l.Addr().String()] = n
		m.list = append(m.list, infra.Instance{ID: fmt.Sprintf("i%d", n), Address: l.Addr().String()})
		go func() { _ = server.Serve(l) }()
	}
	t.Cleanup(func() {
		close(m.release)
		_ = server.Close()
	})
	return m
}

func (m *manyInstances) connState(c net.Conn, s http.ConnState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s == http.StateNew {
		m.open[c] = true
	}
	if s == http.StateClosed {
		delete(m.open, c)
	}
	m.mostOpen = max(m.mostOpen, len(m.open))
}

func (m *manyInstances) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	address := r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
	n := m.number[address]
	if m.hangs(n) {
		m.hanging.Add(1)
		select {
		case <-m.release:
		case <-r.Context().Done():
		}
		return
	}
	m.healthy.Add(1)
	_, _ = fmt.Fprintf(w, `{"table_offset":%d}`, m.offset(n))
}

func (m *manyInstances) Instances(context.Context) ([]infra.Instance, error) { return m.list, nil }

// Guards against publish --wait that asks 930 instances without a bound on its
// sockets, asks those again that have reported, names one that has reported,
// or exceeds its time-out because some instances hang.
func TestWaitAtManyInstances(t *testing.T) {
	const count, hung, offset = 930, 40, 7
	m := startInstances(t, count)
	m.hangs = func(n int) bool { return n%(count/hung) == 3 && n/(count/hung) < hung }
	m.offset = func(int) infra.Offset { return offset }
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	began := time.Now()
	var canceled time.Time
	go func() {
		// The command is at its end in the middle of a round, after two rounds in
		// which the prompt instances had been asked.
		for m.healthy.Load() < count-hung {
			time.Sleep(10 * time.Millisecond)
		}
		for least := m.hanging.Load() + 2*hung + hung/2; m.hanging.Load() < least; {
			time.Sleep(10 * time.Millisecond)
		}
		canceled = time.Now()
		cancel()
	}()
	q := newSurvey(statusTimeout)
	defer q.close()
	err := waitInForce(ctx, m, q, offset, io.Discard)
	took := time.Since(began)
	require.True(t, errkind.Is(err, errkind.WaitTimeout), "%v", err)
	require.ErrorContains(t, err, fmt.Sprintf("%d instance(s) have not reported table offset %d: i3 i26 ", hung, offset))
	require.ErrorContains(t, err, fmt.Sprintf("and %d more", hung-maxNamed))
	t.Logf("the command ends %.3f s after its time-out", time.Since(canceled).Seconds())
	m.mu.Lock()
	most := m.mostOpen
	m.mu.Unlock()
	// A socket that the client has closed may be open here for a moment.
	require.LessOrEqual(t, most, 5*maxQuestions/2)
	t.Logf("%d instances, %d hang: %.2f s, %d questions, at most %d sockets", count, hung, took.Seconds(), m.healthy.Load()+m.hanging.Load(), most)
}

// Guards against a wait that does not end when the last instance reports.
func TestWaitEndsWithTheLastInstance(t *testing.T) {
	const count = 930
	m := startInstances(t, count)
	m.hangs = func(int) bool { return false }
	began := time.Now()
	var late atomic.Int64
	m.offset = func(n int) infra.Offset {
		if n%100 == 0 && time.Since(began) < time.Second {
			late.Add(1)
			return 6
		}
		return 7
	}
	var out bytes.Buffer
	q := newSurvey(time.Minute)
	defer q.close()
	require.NoError(t, waitInForce(t.Context(), m, q, 7, &out))
	require.Equal(t, "in force on 930 instance(s)\n", out.String())
	require.EqualValues(t, count+late.Load(), m.healthy.Load(), "an instance that has reported is not asked again")
	t.Logf("all in force after 1 s; seen after %.2f s, %d questions", time.Since(began).Seconds(), m.healthy.Load())
}

// Guards against a status that hides an instance that is behind or does not
// answer.
func TestStatusNamesTheLate(t *testing.T) {
	const count = 100
	m := startInstances(t, count)
	m.hangs = func(int) bool { return false }
	m.offset = func(n int) infra.Offset {
		if n == 50 {
			panic(http.ErrAbortHandler)
		}
		return infra.Offset(7 - n/99)
	}
	var out bytes.Buffer
	q := newSurvey(time.Minute)
	defer q.close()
	require.NoError(t, printInstances(t.Context(), m, q, 7, &out))
	require.Equal(t, "in force on 98 of 100 instance(s)\nnot reported by: i50 i99\n", out.String())
}
