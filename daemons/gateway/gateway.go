package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/daemons/gateway/upstream"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/serve/drain"
	"github.com/filbertmux/filbertmux/serve/retry"
)

// maxRetryAttempts bounds the attempts of one request, including those of which
// no byte left. The route bounds those that were sent.
const maxRetryAttempts = 4

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	view     *ClusterState
	services *services
	pool     *upstream.Pool
	crashes  *crashes
	gate     *drain.Gate
	metrics  *telemetry.Metrics
	log      zerolog.Logger
	lines    *lineLimiter
	bounds   atomic.Pointer[platform.Bounds]
	// aborted ends the requests that are still in flight at the end of the
	// time for a shutdown.
	aborted context.Context
	abort   context.CancelFunc
	leaving atomic.Bool
	// wasReady is the last answer to the platform.
	wasReady atomic.Bool
	// kick asks for an early reading of the servers.
	kick chan struct{}
}

// New returns a gateway that knows nothing of the deployment yet.
func New(s platform.Settings, view *ClusterState, metrics *telemetry.Metrics, log zerolog.Logger) *Gateway {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	aborted, abort := context.WithCancel(context.Background())
	pool := upstream.NewPool(clock.Now)
	g := &Gateway{
		view:     view,
		services: newServices(s, rng, log),
		pool:     pool,
		crashes:  newCrashes(pool, log),
		gate:     drain.NewGate(),
		metrics:  metrics,
		log:      log,
		lines:    newLineLimiter(clock.Now),
		kick:     make(chan struct{}, 1),
		aborted:  aborted,
		abort:    abort,
	}
	g.bounds.Store(&s.Bounds)
	return g
}

// kickServers asks for an early reading of the servers, after a sign that the
// list is out of date.
func (g *Gateway) kickServers() {
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// retryConfig derives this gateway's part of the retry budget that all share.
func retryConfig(b platform.Bounds) retry.Config {
	return retry.Config{
		Ratio:           b.RetryRatio * retryBudgetMargin,
		Burst:           retryBurst(b.RetryExtra, minBudgetGateways),
		MaxAttempts:     maxRetryAttempts,
		BaseDelay:       retryDelay,
		MaxDelay:        maxRetryDelay,
		OverloadBackoff: overloadHold,
	}
}

// Ready reports whether new connections should come here, and why not. A gateway
// that can't prove its configuration sends callers to one that can.
func (g *Gateway) Ready() (bool, string) {
	ready, reason := g.judgeReady()
	if g.wasReady.Swap(ready) != ready {
		g.log.Info().Bool("ready", ready).Str("reason", reason).Msg("readiness changed")
	}
	return ready, reason
}

func (g *Gateway) judgeReady() (bool, string) {
	switch {
	case g.leaving.Load():
		return false, "leaving"
	case !g.view.Loaded():
		return false, "configuration or backend servers unknown"
	case g.stale(clock.Now()):
		return false, "configuration may be out of date"
	default:
		return true, ""
	}
}

func (g *Gateway) stale(now time.Time) bool {
	age, _ := g.view.ConfigFreshness(now)
	bounds := g.bounds.Load()
	return bounds.StrictRevocation && g.view.Index().Config.Organisations != nil &&
		age > bounds.RevocationTime-storeMargin
}

// ServeHTTP implements http.Handler for callers.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if err := g.gate.Enter(); err != nil {
		w.Header().Set("Connection", "close")
		g.refuse(w, &request{http: hr}, errkind.Of(err))
		return
	}
	defer g.gate.Exit()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	r, err := g.prepare(w, hr)
	if err != nil {
		g.refuse(w, r, errkind.Of(err))
		return
	}
	out := newAnswerWriter(w, r.call.LastEventID)
	err = g.run(r, out)
	g.finish(r, out, errkind.Of(err))
}

// finish answers a request that was not answered and writes its log line.
func (g *Gateway) finish(r *request, out *answerWriter, err *errkind.Error) {
	if err == nil {
		r.trace.outcome = "ok"
		g.report(r, nil)
		return
	}
	r.trace.outcome = err.Kind.String()
	if out.started || errkind.Is(err, errkind.Canceled) {
		// An answer that broke off must not look complete, and a caller that
		// left reads nothing.
		g.report(r, err)
		panic(http.ErrAbortHandler)
	}
	g.refuse(out.w, r, err)
}

// refuse writes an answer of the gateway itself.
func (g *Gateway) refuse(w http.ResponseWriter, r *request, err *errkind.Error) {
	status := answerStatus(err)
	r.trace.outcome, r.trace.status = err.Kind.String(), status
	h := w.Header()
	platform.SetAttemptID(h, r.call.AttemptID)
	if after := r.retryAfter(err); after > 0 && status == http.StatusServiceUnavailable {
		platform.SetRetryAfter(h, after)
	}
	if err.Kind == errkind.StaleTable {
		h.Set("Connection", "close")
	}
	g.report(r, err)
	http.Error(w, err.Kind.String()+": "+err.Message, status)
}

// retryAfterShare is the part of the time left within which a caller heeds the
// advice to come back.
const retryAfterShare = 3

func (r *request) retryAfter(err *errkind.Error) time.Duration {
	after := err.RetryAfter
	if r.call.TimeLeft > 0 {
		left := r.call.TimeLeft - clock.Now().Sub(r.arrived)
		after = min(after, max(left/retryAfterShare, 0))
	}
	return after
}

// answerStatus returns the status for a failure. Those that promise that the
// request never runs are kept for failures that prove it.
func answerStatus(err *errkind.Error) int {
	status := err.Kind.Attributes().HTTPStatus
	notRun := err.Execution == errkind.NotRun
	switch {
	case notRun && (status >= http.StatusInternalServerError || err.Kind == errkind.SuspectRequest):
		// A request that crashes its servers is proper as such, so it gets no
		// answer that blames the caller.
		return http.StatusServiceUnavailable
	case !notRun && promisesNotRun(status):
		return http.StatusBadGateway
	default:
		return status
	}
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
