package kit2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Names of the model service.
const (
	ModelService = "text-desk"
	DraftPath    = "/draft/"
	// DraftEvents is the number of events of a complete stream.
	DraftEvents = 12
)

const (
	// firstEventAfter and eventGap are the times of a replica of the model service.
	firstEventAfter = 80 * time.Millisecond
	eventGap        = 60 * time.Millisecond
	// entryLapse is when the store removes the entry of a replica that is silent: three
	// intervals of its reports.
	entryLapse = 3 * heartbeat
)

// ModelConfig returns a desired state with a route to the model service.
func ModelConfig(version int) map[string]any {
	c := Config(version)
	c["routes"] = append(c["routes"].([]map[string]any), map[string]any{
		"name": "r-draft", "hostname": Host, "pathPrefix": DraftPath, "routeType": "streaming", "timeoutMs": 8000,
		"sloMs": 400, "priority": 1, "service": ModelService, "maxAttempts": 2, "public": false, "sticky": true,
		"resumable": true, "targetGapMs": 120,
	})
	c["services"] = append(c["services"].([]map[string]any), map[string]any{
		"name": ModelService, "healthPath": "/healthz", "maxConns": 836, "protocol": "h1", "tls": false,
	})
	return c
}

// Models are the replicas of the model service. Each of them crashes by a request of which the
// body holds a text, after it has written some events of the answer.
type Models struct {
	c *Case
	// crashText marks the requests that crash a replica; empty for none. crashAfter is the
	// number of events that a replica writes before.
	crashText  string
	crashAfter int
	// backAfter is the time from a crash to the next start at the address.
	backAfter time.Duration

	mu       sync.Mutex
	started  int
	arrivals []Arrival
	crashes  []time.Time
}

// NewModels returns a Models without replicas.
func (c *Case) NewModels(crashText string, crashAfter int, backAfter time.Duration) *Models {
	return &Models{c: c, crashText: crashText, crashAfter: crashAfter, backAfter: backAfter}
}

// Start starts a replica.
func (m *Models) Start() error {
	r := &model{models: m}
	if err := r.start("127.0.0.1:0"); err != nil {
		return err
	}
	go r.beat()
	return nil
}

// Arrivals returns the requests that reached the replicas so far. Their kind is "crash" for
// those that crash a replica.
func (m *Models) Arrivals() []Arrival {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Arrival(nil), m.arrivals...)
}

// RecordArrivals writes the requests that reached the replicas to the record.
func (m *Models) RecordArrivals() {
	for _, a := range m.Arrivals() {
		m.c.Record(a.At, "run: %s at %s %s", a.ID, a.Replica, a.Kind)
	}
}

// Crashes returns the times of the crashes so far.
func (m *Models) Crashes() []time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]time.Time(nil), m.crashes...)
}

// model is one replica. After a crash it starts at the same address with another id.
type model struct {
	models *Models

	mu       sync.Mutex
	id       string
	address  string
	born     int64
	sequence int
	up       bool
	listener net.Listener
	conns    map[net.Conn]bool
}

func (r *model) start(address string) error {
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp4", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	m := r.models
	m.mu.Lock()
	m.started++
	id := fmt.Sprintf("m-%d", m.started)
	m.mu.Unlock()
	r.mu.Lock()
	r.id, r.address, r.born, r.sequence, r.up = id, l.Addr().String(), time.Now().UnixMilli(), 0, true
	r.listener, r.conns = l, make(map[net.Conn]bool)
	r.mu.Unlock()
	r.register()
	go r.accept(l)
	return nil
}

func (r *model) beat() {
	for range time.Tick(heartbeat) {
		r.register()
	}
}

func (r *model) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.sequence++
	r.models.c.Store.PutJSON("keyed.servers", r.id, map[string]any{
		"service": ModelService, "address": r.address, "zone": "zone-a", "version": "v1", "slots": 12,
		"state": "ready", "coldRemainingMs": 0, "sequence": r.sequence, "born": r.born,
	})
}

func (r *model) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		up := r.up
		r.conns[conn] = true
		r.mu.Unlock()
		if !up {
			_ = conn.Close()
			return
		}
		go r.serve(conn)
	}
}

// crash ends all channels and the listener, and starts the replica again later.
func (r *model) crash() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	_ = r.listener.Close()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	id, address := r.id, r.address
	r.mu.Unlock()
	m := r.models
	m.mu.Lock()
	m.crashes = append(m.crashes, time.Now())
	n := len(m.crashes)
	m.mu.Unlock()
	m.c.Logf("%s crashes (crash %d)", id, n)
	time.AfterFunc(entryLapse, func() { m.c.Store.Put("keyed.servers", id, nil) })
	time.AfterFunc(m.backAfter, func() {
		if err := r.start(address); err != nil {
			m.c.Logf("the replica at %s can't start again: %v", address, err)
		}
	})
}

func (r *model) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || !r.respond(conn, req, string(body)) {
			return
		}
	}
}

// respond answers a request. It returns false if the channel has ended.
func (r *model) respond(conn net.Conn, req *http.Request, body string) bool {
	r.mu.Lock()
	own, up := r.id, r.up
	r.mu.Unlock()
	if !up {
		return false
	}
	id := req.Header.Get("X-Attempt-Id")
	if want := req.Header.Get("X-Expected-Instance"); want != "" && want != own {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, own)
		return err == nil
	}
	m := r.models
	crashes := m.crashText != "" && strings.Contains(body, m.crashText)
	arrival := Arrival{ID: id, At: time.Now(), Replica: own}
	if crashes {
		arrival.Kind = "crash"
	}
	m.mu.Lock()
	m.arrivals = append(m.arrivals, arrival)
	m.mu.Unlock()
	time.Sleep(firstEventAfter)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: sig.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	if err != nil {
		return false
	}
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= DraftEvents; n++ {
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		if crashes && n-last >= m.crashAfter {
			time.Sleep(5 * time.Millisecond)
			r.crash()
			return false
		}
		time.Sleep(eventGap)
	}
	_, err = io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}
