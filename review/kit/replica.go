package kit

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Replica is a stand-in for a replica of a plain service.
type Replica struct {
	ID      string
	Address string
	Born    time.Time

	c      *Case
	server *http.Server
	handle func(w http.ResponseWriter, r *http.Request)

	mu     sync.Mutex
	counts map[string]int
}

// Handler answers the requests that expect a replica. It has to call Ran if it runs one.
type Handler func(rep *Replica, w http.ResponseWriter, r *http.Request)

// StartReplica starts a replica at a free address.
func (c *Case) StartReplica(id string, handle Handler) (*Replica, error) {
	return c.StartReplicaAt("127.0.0.1:0", id, handle)
}

// StartReplicaAt starts a replica at an address.
func (c *Case) StartReplicaAt(address, id string, handle Handler) (*Replica, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	rep := &Replica{ID: id, Address: listener.Addr().String(), Born: time.Now(), c: c, counts: make(map[string]int)}
	rep.handle = func(w http.ResponseWriter, r *http.Request) { handle(rep, w, r) }
	rep.server = &http.Server{Handler: rep}
	go func() { _ = rep.server.Serve(listener) }()
	return rep, nil
}

// ServeHTTP implements http.Handler.
func (rep *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != rep.ID {
		rep.c.Logf("replica %s answers 421 to %s, which expects %s", rep.ID, r.Header.Get("X-Attempt-Id"), expected)
		w.Header().Set("X-Instance-Id", rep.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id := r.Header.Get("X-Attempt-Id"); id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	w.Header().Set("Keep-Alive", "timeout=5")
	rep.handle(w, r)
}

// Ran records that the replica runs a request, and signs its answer.
func (rep *Replica) Ran(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	rep.mu.Lock()
	rep.counts[id]++
	n := rep.counts[id]
	rep.mu.Unlock()
	rep.c.Logf("replica %s runs %s (run %d of it here)", rep.ID, id, n)
	w.Header().Set("X-Server-Signature", "3e1b.07.5a2.600.0."+strconv.Itoa(n)+id)
}

// Shed refuses a request because the replica is full.
func (rep *Replica) Shed(w http.ResponseWriter, r *http.Request) {
	rep.c.Logf("replica %s is full and refuses %s", rep.ID, r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Runs returns how often the replica ran a request.
func (rep *Replica) Runs(id string) int {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.counts[id]
}

// Close ends the replica.
func (rep *Replica) Close() { _ = rep.server.Close() }

// Logf writes a line to the record.
func (rep *Replica) Logf(format string, args ...any) { rep.c.Logf(format, args...) }
