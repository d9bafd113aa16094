package kit2

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Names of the stand-in deployment.
const (
	Host         = "desk.example"
	LookupPath   = "/lookup/"
	BookingPath  = "/booking/"
	PlainService = "order-book"
	Key          = "n2ctnfzs989anu6wsjnb"
)

// Config returns a desired state like that of a small deployment.
func Config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			route(LookupPath, "idempotent", 2),
			route(BookingPath, "non_idempotent", 1),
		},
		"services": []map[string]any{
			{"name": PlainService, "healthPath": "/healthz", "maxConns": 220, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
		"tenants": []map[string]any{{"name": "weaver", "apiKeys": []string{Key}, "priority": 1}},
	}
}

func route(path, kind string, attempts int) map[string]any {
	return map[string]any{
		"name": "r-" + kind, "hostname": Host, "pathPrefix": path, "routeType": kind, "timeoutMs": 2000, "sloMs": 300,
		"priority": 2, "service": PlainService, "maxAttempts": attempts, "public": false,
	}
}

// Arrival is a request that reached a replica.
type Arrival struct {
	ID string
	At time.Time
	// Replica is the id of the replica, and Kind what is said of the request, or empty.
	Replica string
	Kind    string
}

// Replica is a stand-in of a replica of the plain service.
type Replica struct {
	ID       string
	c        *Case
	listener net.Listener
	server   *http.Server
	born     int64
	sequence atomic.Int64
	stop     chan struct{}
	draining atomic.Bool
	// Work is how long a request takes.
	Work time.Duration
	// Decorate may set header lines of an answer. It may be nil.
	Decorate func(w http.ResponseWriter)

	mu       sync.Mutex
	arrivals []Arrival
}

// heartbeat is the interval at which a replica writes to the store.
const heartbeat = 1200 * time.Millisecond

// StartReplica starts a replica and registers it.
func (c *Case) StartReplica(id string) (*Replica, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{
		ID: id, c: c, listener: l, born: time.Now().UnixMilli(), stop: make(chan struct{}), Work: 5 * time.Millisecond,
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	c.mu.Lock()
	c.replicas = append(c.replicas, r)
	c.mu.Unlock()
	go r.beat()
	return r, nil
}

func (r *Replica) beat() {
	r.Register()
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(heartbeat):
			r.Register()
		}
	}
}

// Register writes the entry of the replica.
func (r *Replica) Register() { r.c.Store.PutJSON("keyed.servers", r.ID, r.entry()) }

// entry returns the next entry of the replica.
func (r *Replica) entry() map[string]any {
	state := "ready"
	if r.draining.Load() {
		state = "draining"
	}
	return map[string]any{
		"service": PlainService, "address": r.listener.Addr().String(), "zone": "zone-a", "version": "v1", "slots": 12,
		"state": state, "coldRemainingMs": 0, "sequence": r.sequence.Add(1), "born": r.born,
	}
}

// RegisterLate sends a write of the entry that gets no response and that the store executes
// after a time. executed is called then.
func (r *Replica) RegisterLate(after time.Duration, executed func(entry map[string]any)) {
	entry := r.entry()
	time.AfterFunc(after, func() {
		r.c.Store.PutJSON("keyed.servers", r.ID, entry)
		executed(entry)
	})
}

// Drain reports that the replica is draining, now and in all later writes. It returns when
// the store has accepted the report.
func (r *Replica) Drain() time.Time {
	r.draining.Store(true)
	r.Register()
	return time.Now()
}

// Leave removes the entry of the replica without a report that it is draining. The replica
// serves on until Stop. Leave returns when the store has accepted the removal.
func (r *Replica) Leave() time.Time {
	close(r.stop)
	time.Sleep(5 * time.Millisecond)
	r.c.Store.Put("keyed.servers", r.ID, nil)
	return time.Now()
}

// Stop ends the replica.
func (r *Replica) Stop() {
	select {
	case <-r.stop:
	default:
		close(r.stop)
	}
	_ = r.server.Close()
}

// Arrivals returns the requests that reached the replica so far.
func (r *Replica) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.arrivals...)
}

// RecordRuns writes the requests that reached the replicas of the plain service to the record.
func (c *Case) RecordRuns() {
	c.mu.Lock()
	list := c.replicas
	c.mu.Unlock()
	for _, r := range list {
		for _, a := range r.Arrivals() {
			c.Record(a.At, "run: %s at %s", a.ID, a.Replica)
		}
	}
}

// ServeHTTP answers a request as the users' pages say.
func (r *Replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	at := time.Now()
	id := req.Header.Get("X-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if want := req.Header.Get("X-Expected-Instance"); want != "" && want != r.ID {
		w.Header().Set("X-Instance-Id", r.ID)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, Arrival{ID: id, At: at, Replica: r.ID})
	r.mu.Unlock()
	time.Sleep(r.Work)
	if r.Decorate != nil {
		r.Decorate(w)
	}
	body := fmt.Sprintf("%s answered by %s\n", id, r.ID)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.Header().Set("X-Server-Signature", "sig."+id)
	_, _ = w.Write([]byte(body))
}
