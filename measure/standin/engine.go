package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
)

// EngineConfig sets up an Engine. Zero durations generate without delay.
type EngineConfig struct {
	Model         string
	TokenInterval time.Duration
	// PrefillPerByte is the time to first token for each prompt byte that is
	// not in the prefix cache.
	PrefillPerByte time.Duration
	// MaxBatch is the number of requests that generate at once; further ones
	// wait by priority. 0 means no bound.
	MaxBatch int
	// DefaultTokens is the answer length when the request has no max_tokens.
	DefaultTokens int
	// PrefixBlocks is the capacity of the prefix cache in blocks of 64 bytes.
	PrefixCacheBlocks int
	// CacheEventLag is by how many events the published cache events lag.
	CacheEventLag int
	// DropEveryCacheEvent loses each n-th cache event. 0 loses none.
	DropEveryNthCacheEvent int
	// ChecksFencing makes the engine refuse commands with a stale token.
	ChecksFencing bool
	// CrashMarker makes a request whose prompt contains it crash the engine:
	// all its answers end unfinished.
	CrashMarker string
	// OnCrash is called in place of Crash if it is set. It first makes the
	// address refuse connections and then calls Crash, because a process that
	// died answers no health check when its answers break off.
	OnCrash func()
}

const (
	defaultAnswerTokens = 16
	maxTokens           = 100_000
	// maxKeptAnswers bounds the answers that can be resumed.
	maxKeptAnswers = 1024
)

// RequestIDHeader carries the id under which an answer can be resumed by
// GET /v1/streams/{id}?from=TOKEN and cancelled by DELETE /v1/streams/{id}.
const RequestIDHeader = "X-Request-Id"

// Engine stands in for a model engine with continuous batching. Token i of an
// answer is a function of prompt and i, so a whole answer can be recognised.
type Engine struct {
	cfg      EngineConfig
	batch    *batch
	cache    *prefixCache
	commands *commandState
	mux      *http.ServeMux
	inFlight atomic.Int64
	started  atomic.Int64
	served   atomic.Int64
	crashes  atomic.Int64

	mu          sync.Mutex
	alive       context.Context
	stop        context.CancelFunc
	generations map[string]*generation
	order       []string
}

var _ http.Handler = (*Engine)(nil)

// NewEngine returns an idle engine.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.DefaultTokens == 0 {
		cfg.DefaultTokens = defaultAnswerTokens
	}
	e := &Engine{
		cfg:         cfg,
		batch:       newBatch(cfg.MaxBatch),
		cache:       newPrefixCache(cfg),
		commands:    &commandState{checksFencing: cfg.ChecksFencing},
		mux:         http.NewServeMux(),
		generations: make(map[string]*generation),
	}
	e.alive, e.stop = context.WithCancel(context.Background())
	e.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.cancel)
	e.mux.HandleFunc("GET /v1/cache_events", e.cacheEvents)
	e.mux.HandleFunc("GET /v1/load", e.load)
	e.mux.HandleFunc("POST /v1/commands", e.commands.serve)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// InFlight returns the number of answers in generation or waiting.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) }

// Served returns the number of answers that were generated whole.
func (e *Engine) Completed() int { return int(e.served.Load()) }

// Crashes returns how often the engine crashed.
func (e *Engine) Crashes() int { return int(e.crashes.Load()) }

// Commands returns the commands that the engine took, in order.
func (e *Engine) AcceptedCommands() []Command { return e.commands.list() }

// Crash ends all answers unfinished and forgets them.
func (e *Engine) Crash() {
	e.crashes.Add(1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stop()
	e.alive, e.stop = context.WithCancel(context.Background())
	clear(e.generations)
	e.order = nil
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.MaxTokens > maxTokens {
		writeError(w, errkind.New(errkind.InvalidRequest, "want a chat-completions JSON body with max_tokens up to %d", maxTokens))
		return
	}
	if e.cfg.CrashMarker != "" && strings.Contains(req.Prompt(), e.cfg.CrashMarker) {
		if e.cfg.OnCrash != nil {
			e.cfg.OnCrash()
		} else {
			e.Crash()
		}
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(RequestIDHeader)
	g := e.start(id, req)
	if id == "" {
		// Without an id nobody can resume, so the answer ends with its caller.
		stop := context.AfterFunc(r.Context(), g.cancel)
		defer stop()
	}
	e.answer(w, r, g, 0, req.Stream)
}

// start begins a generation in the background.
func (e *Engine) start(id string, req ChatRequest) *generation {
	tokens := req.MaxTokens
	if tokens <= 0 {
		tokens = e.cfg.DefaultTokens
	}
	prompt := req.Prompt()
	e.mu.Lock()
	defer e.mu.Unlock()
	ctx, cancel := context.WithCancel(e.alive)
	g := newGeneration(prompt, tokens, e.cache.lookup(prompt), cancel)
	if id != "" {
		e.keep(id, g)
	}
	e.started.Add(1)
	e.inFlight.Add(1)
	go e.generate(ctx, g, req.Priority)
	return g
}

// keep makes an answer resumable and forgets the oldest one above the bound.
// The caller holds e.mu.
func (e *Engine) keep(id string, g *generation) {
	e.generations[id] = g
	e.order = append(e.order, id)
	if len(e.order) > maxKeptAnswers {
		delete(e.generations, e.order[0])
		e.order = e.order[1:]
	}
}

func (e *Engine) generate(ctx context.Context, g *generation, priority int) {
	defer e.inFlight.Add(-1)
	defer g.cancel()
	w := e.batch.enter(priority)
	defer e.batch.leave(w)
	select {
	case <-w.ready:
	case <-ctx.Done():
	}
	prefill := time.Duration(len(g.prompt)-g.cached) * e.cfg.PrefillPerByte
	clock.Sleep(ctx, prefill)
	if g.run(ctx, e.cfg.TokenInterval) {
		e.served.Add(1)
	}
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		writeError(w, errkind.New(errkind.InvalidRequest, "from must be a token number from 0"))
		return
	}
	g := e.find(r.PathValue("id"))
	if g == nil {
		http.NotFound(w, r)
		return
	}
	e.answer(w, r, g, from, true)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	g := e.find(r.PathValue("id"))
	if g == nil {
		http.NotFound(w, r)
		return
	}
	g.cancel()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) find(id string) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generations[id]
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	writeJSON(w, http.StatusOK, e.cache.since(after))
}

// LoadReport is the JSON answer of GET /v1/load.
type LoadReport struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	// Started is the number of requests that reached the engine.
	Started int64 `json:"started"`
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, LoadReport{InFlight: e.InFlight(), Queued: e.batch.queued(), Started: e.started.Load()})
}
