package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// PlainConfig sets up a Plain service.
type PlainServiceConfig struct {
	Name string
	// Delay is the time that each call takes.
	Delay time.Duration
	// CrashOn makes a call whose body equals it close the connection without
	// an answer and calls OnCrash. The empty string never matches.
	CrashOn string
	OnCrash func()
}

// Plain stands in for a plain service. It counts the runs of each call by its
// Idempotency-Key, so that a test can tell whether a booking ran twice.
type PlainService struct {
	cfg   PlainServiceConfig
	mu    sync.Mutex
	runs  map[string]int
	calls int
	held  chan struct{} // closed when calls go on; nil while they are not held
}

var _ http.Handler = (*PlainService)(nil)

// NewPlain returns a plain service that has run nothing.
func NewPlainService(cfg PlainServiceConfig) *PlainService {
	return &PlainService{cfg: cfg, runs: make(map[string]int)}
}

// Runs returns how often a call with the given Idempotency-Key ran here.
func (p *PlainService) Runs(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[key]
}

// TotalRuns returns the number of calls with an Idempotency-Key that ran here.
func (p *PlainService) TotalRuns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0
	for _, n := range p.runs {
		total += n
	}
	return total
}

// Calls returns the number of calls of any kind that reached the service.
func (p *PlainService) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Hold makes calls wait after they were counted, until Release.
func (p *PlainService) HoldCalls() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held == nil {
		p.held = make(chan struct{})
	}
}

// Release lets the held calls go on.
func (p *PlainService) ReleaseCalls() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held != nil {
		close(p.held)
		p.held = nil
	}
}

// ServeHTTP implements http.Handler. GET /standin/runs?key=K returns the
// count of one key and GET /standin/calls that of all calls; PUT and DELETE
// /standin/hold hold and release the calls.
func (p *PlainService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /standin/runs":
		_, _ = fmt.Fprint(w, p.Runs(r.URL.Query().Get("key")))
		return
	case "GET /standin/calls":
		_, _ = fmt.Fprint(w, p.Calls())
		return
	case "PUT /standin/hold":
		p.HoldCalls()
		return
	case "DELETE /standin/hold":
		p.ReleaseCalls()
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := p.record(r.Header.Get("Idempotency-Key"))
	if p.cfg.CrashOn != "" && string(body) == p.cfg.CrashOn {
		p.crash()
	}
	if !p.sleep(r) {
		return
	}
	writeJSON(w, http.StatusOK, PlainResponse{
		Service: p.cfg.Name,
		Method:  r.Method,
		Path:    r.URL.Path,
		Run:     run,
		Body:    string(body),
	})
}

// PlainAnswer is the JSON answer of a Plain service.
type PlainResponse struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Run is the number of runs with this Idempotency-Key so far.
	Run  int    `json:"run"`
	Body string `json:"body"`
}

func (p *PlainService) record(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if key == "" {
		return 0
	}
	p.runs[key]++
	return p.runs[key]
}

func (p *PlainService) crash() {
	if p.cfg.OnCrash != nil {
		p.cfg.OnCrash()
	}
	panic(http.ErrAbortHandler)
}

func (p *PlainService) sleep(r *http.Request) bool {
	p.mu.Lock()
	held := p.held
	p.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-r.Context().Done():
			return false
		}
	}
	if p.cfg.Delay <= 0 {
		return true
	}
	select {
	case <-time.After(p.cfg.Delay):
		return true
	case <-r.Context().Done():
		return false
	}
}
