package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/daemons/inbound"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/serve/hedge"
	"github.com/filbertmux/filbertmux/serve/quarantine"
	"github.com/filbertmux/filbertmux/serve/retry"
)

const (
	// defaultTimeout applies if neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// defaultMaxBody limits the request body, in bytes, if the configuration
	// sets no limit.
	defaultMaxBody = 4 << 20
	// revocationMargin is subtracted from the revocation bound: a gateway that
	// can't prove that its configuration is current stops serving requests with
	// keys this long before the bound. It covers the time between the arrival of
	// a request and its key check.
	revocationMargin = 300 * time.Millisecond
	// staleConfigRetryAfter is the Retry-After value while this gateway's
	// configuration is missing or too old. It is short because another gateway
	// can serve the request at once.
	staleConfigRetryAfter = 100 * time.Millisecond
)

// request is one HTTP request of a caller. A caller's own retry is another
// request.
type request struct {
	call    platform.RequestHeader
	http    *http.Request
	arrived time.Time
	// deadline is the earlier of the caller's and the route's deadline.
	deadline time.Time
	route    *fleet.Route
	index    *fleet.Index
	// organisation owns the API key; empty for routes without a key.
	organisation string
	urgency      fleet.Urgency
	service      string
	// regions lists the regions in which the request may run; nil means all.
	regions []string
	// configAge is how long before the arrival of the request the configuration
	// was last confirmed as current.
	configAge time.Duration
	// memory is what the request takes, with its body. It is nil if the request was refused
	// before its body was read.
	memory *inbound.Request
	log    zerolog.Logger
	// features are those by which the request is refused if they crash servers, and
	// lost is what is reported if its server crashes.
	features []quarantine.Feature
	lost     lostRequest
	// hedging lets the request be hedged. It is the zero value if it must not run twice.
	hedging hedge.Candidate
	// crashCheck is closed when the check of the last server whose connection broke
	// has ended, or nil.
	crashCheck <-chan struct{}
	// trace is written to the log when the request ends.
	trace trace
}

// trace records the attempts and the outcome of a request.
type trace struct {
	attempts         int
	sent             int
	servers          []string
	waited           time.Duration
	timeToFirstEvent time.Duration
	events           int
	// serverWait is the time from the placement at the server that sent the first
	// event to that event. It includes the queue of the server.
	serverWait time.Duration
	// placedAt is when the last attempt got its server, lastEventAt when the caller
	// last got an event, and longestGap the longest time between two events, after
	// which longestGapAfter events had arrived.
	placedAt        time.Time
	lastEventAt     time.Time
	longestGap      time.Duration
	longestGapAfter int
	// noRetryReason is why the last failed attempt was not retried.
	noRetryReason retry.Reason
	outcome       string
	status        int
	// hedge is the outcome of the hedge, or why there was none when it was due. It is empty if
	// none was due.
	hedge string
	// mayHaveRun is set once a backend server may have run the request.
	mayHaveRun bool
}

// recordEvents records that events arrived for the caller, which has got total events
// with them.
func (t *trace) recordEvents(now time.Time, total int) {
	if gap := now.Sub(t.lastEventAt); !t.lastEventAt.IsZero() && gap > t.longestGap {
		t.longestGap, t.longestGapAfter = gap, t.events
	}
	t.lastEventAt, t.events = now, total
}

// lateBy returns what made a stream late: "first_event", "gap", or "" if it is in time.
func (t *trace) lateBy(firstObjective, gapObjective time.Duration) string {
	switch {
	case firstObjective > 0 && t.timeToFirstEvent > firstObjective:
		return "first_event"
	case gapObjective > 0 && t.longestGap > gapObjective:
		return "gap"
	default:
		return ""
	}
}

// labels returns the metric labels of the request.
func (r *request) labels() telemetry.RequestLabels {
	return telemetry.RequestLabels{Organisation: r.organisation, Class: r.urgency.String(), Service: r.service}
}

// cost returns the expected work in prompt tokens. Generating an output token
// takes about as long as reading ten prompt tokens.
func (r *request) cost() float64 {
	const outputTokenCost = 10
	output := r.call.ExpectedOutputTokens
	if output == 0 {
		output = r.call.MaxOutputTokens
	}
	return float64(r.call.PromptTokens + outputTokenCost*output)
}

// tokens returns the memory that the request may need at its server, in tokens.
func (r *request) tokens() int { return r.call.PromptTokens + r.call.MaxOutputTokens }

// constraint returns which servers may run the request, apart from the excluded ones.
func (r *request) constraint(exclude []string) placement.Constraint {
	return placement.Constraint{Exclude: exclude, Regions: r.regions, Tokens: r.tokens()}
}

// timeLeft returns the time until the deadline.
func (r *request) timeLeft(now time.Time) time.Duration { return r.deadline.Sub(now) }

// target returns the path and query as they are sent to backend servers, exactly as the
// caller sent them.
func (r *request) target() string {
	if r.http.URL.Host != "" {
		return r.http.URL.RequestURI()
	}
	return r.http.RequestURI
}

// path returns the path of the target, with its escapes. The route is selected by it and
// not by the unescaped path: an escaped slash must not lead to another route than the one
// that backend servers see.
func (r *request) path() string {
	path, _, _ := strings.Cut(r.target(), "?")
	return path
}

// prepare authenticates a request, selects its route and service, and reads its body, in this
// order. After an error the request has not run, and the rest of its body is unread.
func (g *Gateway) prepare(w http.ResponseWriter, hr *http.Request) (*request, error) {
	r := &request{http: hr, arrived: clock.Now()}
	call, err := platform.DecodeRequestHeader(hr.Header)
	if err != nil {
		return r, err
	}
	r.call = call
	r.log = g.log.With().Str(telemetry.RequestIDField, call.AttemptID).Logger()
	var silence time.Duration
	if r.index, r.configAge, silence = g.state.Config(r.arrived); r.index == nil {
		return r, staleConfigError("no configuration has been read yet")
	}
	if err := r.resolve(silence, g.bounds.Load()); err != nil {
		return r, err
	}
	r.setDeadline()
	r.memory, err = g.memory.Read(w, hr, inbound.ReadOptions{Organisation: r.organisation, MaxBody: r.maxBody()})
	return r, err
}

// resolve looks up the route and the organisation. A request that an outdated
// configuration rejects may be allowed by the current one, so a definitive
// rejection (401 or 404) requires a configuration that is known to be recent.
func (r *request) resolve(silence time.Duration, bounds *platform.Bounds) error {
	recent := silence <= bounds.ConfigApplyTime
	route, ok := r.index.Route(r.http.Host, r.path())
	if !ok {
		if !recent {
			return staleConfigError("no matching route, but the configuration may be out of date")
		}
		return errkind.New(errkind.UnknownRoute, "no route for this host and path")
	}
	r.route = route
	r.urgency = fleet.UrgencyOf(route, nil)
	r.regions = route.Regions
	r.service = pickTarget(route.Targets, rand.Float64())
	if !r.index.RequiresKey(route) {
		return nil
	}
	if bounds.StrictRevocation && r.configAge > bounds.RevocationTime-revocationMargin {
		return staleConfigError("the API key may have been revoked")
	}
	organisation, ok := r.index.Organisation(r.call.Key)
	switch {
	case !ok && !recent:
		return staleConfigError("unknown API key, but the configuration may be out of date")
	case !ok:
		return errkind.New(errkind.Unauthenticated, "unknown API key")
	}
	r.organisation = organisation.Name
	r.urgency = fleet.UrgencyOf(route, organisation)
	r.regions = fleet.AllowedRegions(route.Regions, organisation.Regions)
	return nil
}

func staleConfigError(reason string) error {
	return errkind.New(errkind.StaleTable, "%s", reason).WithRetryAfter(staleConfigRetryAfter)
}

// pickTarget selects a service by weight; at is a random number in [0, 1).
func pickTarget(targets []fleet.Target, at float64) string {
	total := 0
	for _, t := range targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return targets[0].Service
	}
	left := at * float64(total)
	for _, t := range targets {
		left -= float64(max(t.Weight, 0))
		if left < 0 {
			return t.Service
		}
	}
	return targets[len(targets)-1].Service
}

func (r *request) setDeadline() {
	timeout := defaultTimeout
	if r.route.Timeout > 0 {
		timeout = r.route.Timeout
	}
	if r.call.TimeLeft > 0 {
		timeout = min(timeout, r.call.TimeLeft)
	}
	r.deadline = r.arrived.Add(timeout)
}

// maxBody returns the largest body in bytes.
func (r *request) maxBody() int {
	if n := r.index.Config.Limits.MaxBodyBytes; n > 0 {
		return n
	}
	return defaultMaxBody
}

// context returns a context that ends at the deadline and, if the request may be
// cancelled, when the caller disconnects.
func (r *request) context(now time.Time) (context.Context, context.CancelFunc) {
	parent := r.http.Context()
	if !r.route.Retryable() && r.route.Kind != fleet.Streaming {
		// A non-idempotent request is not cancelled once it was sent, because the
		// caller would then have no record of its outcome.
		parent = context.WithoutCancel(parent)
	}
	return context.WithTimeoutCause(parent, r.timeLeft(now), errDeadline)
}

// waitContext returns a context that ends with ctx and when the caller disconnects. No
// request may be sent after that: its caller no longer waits for it, and may have sent it
// again elsewhere.
func (r *request) waitContext(ctx context.Context) (context.Context, context.CancelFunc) {
	waitCtx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(r.http.Context(), cancel)
	return waitCtx, func() {
		stop()
		cancel()
	}
}
