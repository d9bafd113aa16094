package kit3

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the interval at which replicas register.
const heartbeat = 1200 * time.Millisecond

// Run is a request that a replica ran.
type Run struct {
	Attempt, Replica, Service, Tenant, Method, Target, Body string
	At                                                      time.Time
}

// Replica is a sound replica of a plain service.
type Replica struct {
	ID, Service, Zone string
	// WorkTime is how long a request takes.
	WorkTime time.Duration

	listener net.Listener
	store    *Store
	born     int64

	mu       sync.Mutex
	sequence int64
	state    string
	runs     []Run
	stopped  chan struct{}
}

// NewReplica starts a replica at a host, which registers itself in the store.
func NewReplica(store *Store, id, service, host string) (*Replica, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	r := &Replica{
		ID: id, Service: service, Zone: "z1", WorkTime: 20 * time.Millisecond,
		listener: l, store: store, born: time.Now().UnixMilli(), state: "ready", stopped: make(chan struct{}),
	}
	server := &http.Server{Handler: r, ReadHeaderTimeout: time.Minute, IdleTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	go r.register()
	return r, nil
}

// Address returns host:port.
func (r *Replica) Address() string { return r.listener.Addr().String() }

// Runs returns what the replica has run.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// register writes the registration each heartbeat.
func (r *Replica) register() {
	for {
		r.Register()
		select {
		case <-r.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

// Register writes the registration once. It reports whether the store has accepted it.
func (r *Replica) Register() bool {
	r.mu.Lock()
	r.sequence++
	value, err := json.Marshal(map[string]any{
		"service": r.Service, "address": r.Address(), "zone": r.Zone, "version": "v1", "slots": 8,
		"state": r.state, "coldRemainingMs": 0, "sequence": r.sequence, "born": r.born,
	})
	r.mu.Unlock()
	if err != nil {
		return false
	}
	_, ok := r.store.Put("keyed.servers", r.ID, value)
	return ok
}

// ServeHTTP runs a request.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Keep-Alive", "timeout=5")
	if req.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", r.ID)
		return
	}
	id := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if want := req.Header.Get("X-Expected-Instance"); want != "" && want != r.ID {
		w.Header().Set("X-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.runs = append(r.runs, Run{
		Attempt: id, Replica: r.ID, Service: r.Service, Tenant: req.Header.Get("X-Tenant"),
		Method: req.Method, Target: req.RequestURI, Body: string(body), At: time.Now(),
	})
	r.mu.Unlock()
	time.Sleep(r.WorkTime)
	w.Header().Set("X-Server-Signature", "sig-"+r.ID+"-"+id)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.Copy(w, bytes.NewReader([]byte(answerOf(r.ID, id))))
}

// answerOf is the body of the answer of a replica to an attempt.
func answerOf(replica, attempt string) string {
	return fmt.Sprintf("answer of %s to %s\n", replica, attempt)
}
