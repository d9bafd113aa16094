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

// EngineConfig configures an Engine. With zero durations, tokens are generated
// without delay.
type EngineConfig struct {
	Model         string
	TokenInterval time.Duration
	// PrefillPerByte is the prefill time for each prompt byte that is not in the
	// prefix cache.
	PrefillPerByte time.Duration
	// MaxBatch is the maximum number of requests in the batch. Further requests
	// are queued by priority. 0 means no limit.
	MaxBatch int
	// DefaultTokens is the number of tokens generated for a request without
	// max_tokens.
	DefaultTokens int
	// PrefixBlocks is the capacity of the prefix cache in blocks of 64 bytes.
	PrefixCacheBlocks int
	// CacheEventLag is the number of latest cache events that are not visible to
	// readers yet.
	CacheEventLag int
	// DropEveryNthCacheEvent drops each n-th cache event. 0 drops none.
	DropEveryNthCacheEvent int
	// ChecksFencing makes the engine refuse commands with a stale fencing token.
	ChecksFencing bool
	// CrashMarker simulates a crash of the engine when a prompt contains it: all
	// running generations are aborted. An empty marker never matches.
	CrashMarker string
	// OnCrash, if set, is called instead of Crash. It must make the address
	// refuse connections before it calls Crash, because a process that crashed
	// no longer answers health checks when its streams are aborted.
	OnCrash func()
}

const (
	defaultCompletionTokens = 16
	maxTokens               = 100_000
	// maxResumableGenerations bounds the number of generations that can be
	// resumed.
	maxResumableGenerations = 1024
)

// RequestIDHeader carries the id under which a generation can be resumed by
// GET /v1/streams/{id}?from=TOKEN and cancelled by DELETE /v1/streams/{id}.
const RequestIDHeader = "X-Request-Id"

// Engine simulates a model engine with continuous batching. Token i of a
// completion is a function of the prompt and i, so tests can check that a
// completion is complete and correct.
type Engine struct {
	cfg       EngineConfig
	batch     *batchScheduler
	cache     *prefixCache
	commands  *commandLog
	mux       *http.ServeMux
	inFlight  atomic.Int64
	started   atomic.Int64
	completed atomic.Int64
	crashes   atomic.Int64
	received  receivedCalls

	mu              sync.Mutex
	engineCtx       context.Context
	cancelAll       context.CancelFunc
	generations     map[string]*generation
	generationOrder []string
}

var _ http.Handler = (*Engine)(nil)

// NewEngine returns an idle engine.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.DefaultTokens == 0 {
		cfg.DefaultTokens = defaultCompletionTokens
	}
	e := &Engine{
		cfg:         cfg,
		batch:       newBatchScheduler(cfg.MaxBatch),
		cache:       newPrefixCache(cfg),
		commands:    &commandLog{checksFencing: cfg.ChecksFencing},
		mux:         http.NewServeMux(),
		generations: make(map[string]*generation),
	}
	e.engineCtx, e.cancelAll = context.WithCancel(context.Background())
	e.mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	e.mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	e.mux.HandleFunc("GET /v1/cache_events", e.serveCacheEvents)
	e.mux.HandleFunc("GET /v1/load", e.serveLoad)
	e.mux.HandleFunc("GET "+ReceivedPath, e.received.serve)
	e.mux.HandleFunc("POST /v1/commands", e.commands.serve)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// InFlight returns the number of generations that run or are queued.
func (e *Engine) InFlight() int { return int(e.inFlight.Load()) }

// Completed returns the number of generations that finished.
func (e *Engine) Completed() int { return int(e.completed.Load()) }

// Crashes returns the number of simulated crashes.
func (e *Engine) Crashes() int { return int(e.crashes.Load()) }

// AcceptedCommands returns the commands that the engine accepted, in order.
func (e *Engine) AcceptedCommands() []Command { return e.commands.list() }

// Crash simulates a crash: it aborts all generations and forgets them, so that
// they cannot be resumed.
func (e *Engine) Crash() {
	e.crashes.Add(1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelAll()
	e.engineCtx, e.cancelAll = context.WithCancel(context.Background())
	clear(e.generations)
	e.generationOrder = nil
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || req.MaxTokens > maxTokens {
		writeError(w, errkind.New(errkind.InvalidRequest, "body must be a chat-completions JSON request with max_tokens up to %d", maxTokens))
		return
	}
	e.received.add(req.Prompt(), r.URL.Path)
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
		// A generation without an id cannot be resumed, so it is cancelled when
		// its client disconnects.
		stop := context.AfterFunc(r.Context(), g.cancel)
		defer stop()
	}
	e.writeGeneration(w, r, g, 0, req.Stream)
}

// start starts a generation in the background.
func (e *Engine) start(id string, req ChatRequest) *generation {
	tokens := req.MaxTokens
	if tokens <= 0 {
		tokens = e.cfg.DefaultTokens
	}
	prompt := req.Prompt()
	e.mu.Lock()
	defer e.mu.Unlock()
	ctx, cancel := context.WithCancel(e.engineCtx)
	g := newGeneration(prompt, tokens, e.cache.lookup(prompt), cancel)
	if id != "" {
		e.registerGeneration(id, g)
	}
	e.started.Add(1)
	e.inFlight.Add(1)
	go e.generate(ctx, g, req.Priority)
	return g
}

// registerGeneration makes a generation resumable by id. Above
// maxResumableGenerations, the oldest one is forgotten. The caller must hold
// e.mu.
func (e *Engine) registerGeneration(id string, g *generation) {
	e.generations[id] = g
	e.generationOrder = append(e.generationOrder, id)
	if len(e.generationOrder) > maxResumableGenerations {
		delete(e.generations, e.generationOrder[0])
		e.generationOrder = e.generationOrder[1:]
	}
}

func (e *Engine) generate(ctx context.Context, g *generation, priority int) {
	defer e.inFlight.Add(-1)
	defer g.cancel()
	w := e.batch.acquire(priority)
	defer e.batch.release(w)
	select {
	case <-w.ready:
	case <-ctx.Done():
	}
	prefill := time.Duration(len(g.prompt)-g.cachedBytes) * e.cfg.PrefillPerByte
	clock.Sleep(ctx, prefill)
	if g.run(ctx, e.cfg.TokenInterval) {
		e.completed.Add(1)
	}
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		writeError(w, errkind.New(errkind.InvalidRequest, "from must be a non-negative token index"))
		return
	}
	g := e.findGeneration(r.PathValue("id"))
	if g == nil {
		http.NotFound(w, r)
		return
	}
	e.writeGeneration(w, r, g, from, true)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	g := e.findGeneration(r.PathValue("id"))
	if g == nil {
		http.NotFound(w, r)
		return
	}
	g.cancel()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) findGeneration(id string) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generations[id]
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	writeJSON(w, http.StatusOK, e.cache.since(after))
}

// LoadReport is the JSON response of GET /v1/load.
type LoadReport struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	// Started is the number of requests that reached the engine.
	Started int64 `json:"started"`
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, LoadReport{InFlight: e.InFlight(), Queued: e.batch.queueLength(), Started: e.started.Load()})
}
