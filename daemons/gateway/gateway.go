package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/daemons/gateway/upstream"
	"github.com/filbertmux/filbertmux/daemons/inbound"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/serve/drain"
	"github.com/filbertmux/filbertmux/serve/retry"
)

// maxAttempts limits the attempts per request, including those that failed before
// any byte was sent. Route.MaxAttempts counts only attempts that were sent.
const maxAttempts = 4

// Gateway is the HTTP handler for callers. It is safe for concurrent use.
type Gateway struct {
	state    *ClusterState
	services *serviceRegistry
	pool     *upstream.Pool
	crashes  *crashTracker
	gate     *drain.Gate
	// memory and connections bound what callers take of this process.
	memory      *inbound.Memory
	connections *inbound.Connections
	metrics     *telemetry.Metrics
	log         zerolog.Logger
	logLimiter  *logLimiter
	bounds      atomic.Pointer[platform.Bounds]
	// abortCtx is cancelled at the end of the shutdown grace period and ends the
	// requests that are still in flight.
	abortCtx context.Context
	abort    context.CancelFunc
	draining atomic.Bool
	// wasReady is the readiness last reported to the platform.
	wasReady atomic.Bool
	// serverRefresh triggers an early read of the server list.
	serverRefresh chan struct{}
	// evacuations holds the failure domains whose servers get no requests.
	evacuations *evacuationTracker
	// probeTimeout limits a probe of a silent server.
	probeTimeout time.Duration
}

// New returns a gateway that serves from state, which may still be empty.
func New(s platform.Settings, state *ClusterState, metrics *telemetry.Metrics, log zerolog.Logger) *Gateway {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	abortCtx, abort := context.WithCancel(context.Background())
	sockets := divideSockets(s)
	limits := inbound.Divide(memoryLimit(s), sockets.callers)
	pool := upstream.NewPool(clock.Now)
	pool.SetMaxOpen(sockets.servers)
	g := &Gateway{
		state:         state,
		pool:          pool,
		crashes:       newCrashTracker(pool, metrics, log),
		gate:          drain.NewGate(),
		memory:        inbound.NewMemory(limits.Budget, metrics),
		connections:   inbound.NewConnections(limits.Connections, metrics),
		metrics:       metrics,
		log:           log,
		logLimiter:    newLogLimiter(clock.Now),
		serverRefresh: make(chan struct{}, 1),
		abortCtx:      abortCtx,
		abort:         abort,
		probeTimeout:  probeTimeout,
	}
	g.bounds.Store(&s.Bounds)
	g.services = newServiceRegistry(s, &g.bounds, rng, log)
	g.evacuations = newEvacuationTracker(s.Regions, g.services, metrics, log)
	return g
}

// requestServerRefresh triggers an early read of the server list, because the
// known list appears to be out of date.
func (g *Gateway) requestServerRefresh() {
	select {
	case g.serverRefresh <- struct{}{}:
	default:
	}
}

// retryConfig returns this gateway's share of the retry budget, which all gateways
// share.
func retryConfig(b platform.Bounds) retry.Config {
	return retry.Config{
		Ratio:           b.RetryRatio * retryBudgetShare,
		Burst:           retryBurst(b.RetryExtra, minBudgetGateways),
		MaxAttempts:     maxAttempts,
		BaseDelay:       baseRetryDelay,
		MaxDelay:        maxRetryDelay,
		OverloadBackoff: overloadCooldown,
	}
}

// Ready reports whether this gateway should receive new connections, and the
// reason if not. A gateway that can't prove that its configuration is current
// reports unready, so that callers reach one that can.
func (g *Gateway) Ready() (bool, string) {
	ready, reason := g.readiness()
	if g.wasReady.Swap(ready) != ready {
		g.log.Info().Bool("ready", ready).Str("reason", reason).Msg("readiness changed")
	}
	return ready, reason
}

func (g *Gateway) readiness() (bool, string) {
	switch {
	case g.draining.Load():
		return false, "leaving"
	case !g.state.Loaded():
		return false, "configuration or backend servers unknown"
	case g.configStale(clock.Now()):
		return false, "configuration may be out of date"
	default:
		return true, ""
	}
}

func (g *Gateway) configStale(now time.Time) bool {
	age, _ := g.state.ConfigFreshness(now)
	bounds := g.bounds.Load()
	return bounds.StrictRevocation && g.state.Index().Config.Organisations != nil &&
		age > bounds.RevocationTime-revocationMargin
}

// ServeHTTP implements http.Handler for callers.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	err := g.gate.Enter()
	if err != nil {
		g.refuse(w, hr, errkind.Of(err).WithRetryAfter(leavingRetryAfter))
		return
	}
	defer g.gate.Exit()
	r, err := g.prepare(w, hr)
	if err != nil {
		e := errkind.Of(err)
		inbound.Refuse(w, hr, e, func() { g.writeError(w, r, e) })
		return
	}
	defer r.memory.Close()
	if g.gate.IsDraining() {
		// Its body arrived so late that the response may not be complete in time.
		g.writeError(w, r, errkind.New(errkind.Leaving, "this process is shutting down").WithRetryAfter(leavingRetryAfter))
		return
	}
	out := newResponseWriter(w, r.call.LastEventID)
	err = g.forward(r, out)
	g.finish(r, out, errkind.Of(err))
}

// refuse sends an error response to a request that is not read any further.
func (g *Gateway) refuse(w http.ResponseWriter, hr *http.Request, err *errkind.Error) {
	r := &request{http: hr, arrived: clock.Now()}
	// A header that can't be decoded only means that the response lacks the id.
	r.call, _ = platform.DecodeRequestHeader(hr.Header)
	inbound.Refuse(w, hr, err, func() { g.writeError(w, r, err) })
}

// finish logs the outcome of a request and sends an error response if no
// response was started.
func (g *Gateway) finish(r *request, out *responseWriter, err *errkind.Error) {
	if err == nil {
		r.trace.outcome = "ok"
		g.recordRequest(r, nil)
		return
	}
	r.trace.outcome = err.Kind.String()
	if out.started || errkind.Is(err, errkind.Canceled) {
		// Aborting the connection keeps a truncated response from looking
		// complete. A caller that has disconnected reads nothing anyway.
		g.recordRequest(r, err)
		panic(http.ErrAbortHandler)
	}
	g.writeError(out.w, r, err)
}

// writeError sends an error response generated by the gateway.
func (g *Gateway) writeError(w http.ResponseWriter, r *request, err *errkind.Error) {
	status := responseStatus(err)
	r.trace.outcome, r.trace.status = err.Kind.String(), status
	h := w.Header()
	platform.SetAttemptID(h, r.call.AttemptID)
	if after := r.retryAfter(err); after > 0 && status == http.StatusServiceUnavailable {
		platform.SetRetryAfter(h, after)
	}
	if err.Kind == errkind.StaleTable {
		// The caller's next connection may reach another gateway, whose
		// configuration is current.
		h.Set("Connection", "close")
	}
	g.recordRequest(r, err)
	text := err.Kind.String() + ": " + err.Message + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text) // a caller that has disconnected needs no response
}

// retryAfterDivisor limits Retry-After to a third of the caller's remaining time,
// because callers ignore larger values.
const retryAfterDivisor = 3

func (r *request) retryAfter(err *errkind.Error) time.Duration {
	after := err.RetryAfter
	if r.call.TimeLeft > 0 {
		left := r.call.TimeLeft - clock.Now().Sub(r.arrived)
		after = min(after, max(left/retryAfterDivisor, 0))
	}
	return after
}

// responseStatus returns the HTTP status for a failure. Statuses that tell the
// caller that the request did not run are used only if that is certain.
func responseStatus(err *errkind.Error) int {
	status := err.Kind.Attributes().HTTPStatus
	notRun := err.Execution == errkind.NotRun
	switch {
	case notRun && (status >= http.StatusInternalServerError || err.Kind == errkind.SuspectRequest):
		// A request that crashes its backend servers is still well-formed, so a
		// 4xx status, which blames the caller, would be wrong.
		return http.StatusServiceUnavailable
	case !notRun && (impliesNotRun(status) || err.Kind == errkind.SuspectRequest):
		return http.StatusBadGateway
	default:
		return status
	}
}

func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
