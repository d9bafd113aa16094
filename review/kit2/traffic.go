package kit2

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Sent is a request of a client.
type Sent struct {
	ID      string
	At      time.Time
	Gateway int
	Booking bool
	// Status is that of the answer, or 0 while there is none.
	Status int
	// Took is the time until the answer.
	Took time.Duration
}

// Traffic holds the requests of all clients.
type Traffic struct {
	mu       sync.Mutex
	requests map[string]*Sent
}

// NewTraffic returns a Traffic without requests.
func NewTraffic() *Traffic { return &Traffic{requests: make(map[string]*Sent)} }

// Request returns a request.
func (t *Traffic) Request(id string) Sent {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.requests[id]; s != nil {
		return *s
	}
	return Sent{ID: id, Gateway: -1}
}

// RecordAll writes all requests to the record.
func (t *Traffic) RecordAll(c *Case) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.requests {
		kind := "lookup"
		if s.Booking {
			kind = "booking"
		}
		c.Record(s.At, "sent: %s %s to edge-%d, answered with status %d after %.3f s", kind, s.ID, s.Gateway, s.Status, s.Took.Seconds())
	}
}

// LogTotals writes how many requests were answered how.
func (t *Traffic) LogTotals(c *Case) {
	t.mu.Lock()
	defer t.mu.Unlock()
	statuses := make(map[int]int)
	for _, s := range t.requests {
		statuses[s.Status]++
	}
	c.Logf("%d requests sent; answers by status (0: none yet): %v", len(t.requests), statuses)
}

// Client sends one request after the other to a gateway: lookups, or bookings, which must not
// run twice.
func (t *Traffic) Client(gateway int, g *Gateway, booking bool) {
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for {
		time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
		s := &Sent{ID: fmt.Sprintf("%016x", rand.Uint64()), At: time.Now(), Gateway: gateway, Booking: booking}
		req, err := newRequest(g, s)
		if err != nil {
			return
		}
		t.mu.Lock()
		t.requests[s.ID] = s
		t.mu.Unlock()
		status := 0
		if resp, err := client.Do(req); err == nil {
			status = resp.StatusCode
			_ = resp.Body.Close()
		}
		t.mu.Lock()
		s.Status, s.Took = status, time.Since(s.At)
		t.mu.Unlock()
	}
}

func newRequest(g *Gateway, s *Sent) (*http.Request, error) {
	method, path := http.MethodGet, LookupPath+"stock"
	if s.Booking {
		method, path = http.MethodPost, BookingPath+"order"
	}
	req, err := http.NewRequest(method, "http://"+g.Address+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	req.Host = Host
	req.Header.Set("X-Attempt-Id", s.ID)
	req.Header.Set("X-Deadline-Ms", "2000")
	req.Header.Set("X-Key", Key)
	return req, nil
}
