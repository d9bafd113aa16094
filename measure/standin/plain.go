package standin

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// PlainServiceConfig configures a PlainService.
type PlainServiceConfig struct {
	Name string
	// Delay is the duration of each call.
	Delay time.Duration
	// CrashOn is the request body that simulates a crash: OnCrash is called and
	// the connection is closed without a response. An empty string never matches.
	CrashOn string
	OnCrash func()
}

// PlainService simulates a plain service. It counts the runs of each call by its
// Idempotency-Key, so that a test can detect a booking that ran twice.
type PlainService struct {
	cfg       PlainServiceConfig
	mu        sync.Mutex
	runs      map[string]int
	calls     int
	received  receivedCalls
	holdEnded chan struct{} // closed by ReleaseCalls; nil while calls are not held
}

var _ http.Handler = (*PlainService)(nil)

// NewPlainService returns a plain service that has not been called yet.
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

// RunsByKey returns how often each Idempotency-Key ran here.
func (p *PlainService) RunsByKey() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.runs)
}

// Calls returns the number of calls of any kind that reached the service, without health
// checks.
func (p *PlainService) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// HoldCalls makes calls wait after they are counted, until ReleaseCalls.
func (p *PlainService) HoldCalls() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holdEnded == nil {
		p.holdEnded = make(chan struct{})
	}
}

// ReleaseCalls lets the held calls continue.
func (p *PlainService) ReleaseCalls() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holdEnded != nil {
		close(p.holdEnded)
		p.holdEnded = nil
	}
}

// ServeHTTP implements http.Handler. GET /standin/runs?key=K returns the result
// of Runs, GET /standin/runs-by-key that of RunsByKey as a JSON object, GET /standin/calls that of Calls, and
// GET /standin/received the latest calls. PUT and DELETE /standin/hold call
// HoldCalls and ReleaseCalls. Every other request is a call of the service.
func (p *PlainService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /standin/runs":
		_, _ = fmt.Fprint(w, p.Runs(r.URL.Query().Get("key")))
		return
	case "GET /standin/runs-by-key":
		writeJSON(w, http.StatusOK, p.RunsByKey())
		return
	case "GET /standin/calls":
		_, _ = fmt.Fprint(w, p.Calls())
		return
	case "GET " + ReceivedPath:
		p.received.serve(w, r)
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
	run := 0
	if !isHealthCheck(r) {
		p.received.add(string(body), r.URL.Path)
		run = p.countCall(r.Header.Get("Idempotency-Key"))
	}
	if p.cfg.CrashOn != "" && string(body) == p.cfg.CrashOn {
		p.crash()
	}
	if !p.wait(r) {
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

// isHealthCheck reports whether a request is one of the periodic health checks of a sidecar.
// They are answered like calls, but no caller sent them.
func isHealthCheck(r *http.Request) bool {
	return r.Method == http.MethodGet && r.URL.Path == "/health"
}

// PlainResponse is the JSON response of a PlainService.
type PlainResponse struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Run is the number of runs with this Idempotency-Key so far.
	Run  int    `json:"run"`
	Body string `json:"body"`
}

func (p *PlainService) countCall(key string) int {
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

func (p *PlainService) wait(r *http.Request) bool {
	p.mu.Lock()
	holdEnded := p.holdEnded
	p.mu.Unlock()
	if holdEnded != nil {
		select {
		case <-holdEnded:
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
