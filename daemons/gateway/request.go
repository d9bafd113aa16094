package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/serve/retry"
)

const (
	// defaultTimeout bounds a request if neither the caller nor the route does.
	defaultTimeout = 30 * time.Second
	// defaultMaxBody bounds a body if the configuration doesn't.
	defaultMaxBody = 4 << 20
	// storeMargin is how long before the revocation bound a gateway without
	// proof of the newest configuration stops to serve requests with keys. It
	// covers the time between the arrival of a request and its first look here.
	storeMargin = 300 * time.Millisecond
	// unknownRetryAfter is the advice to callers while this gateway knows too
	// little to serve them; another gateway serves them at once.
	unknownRetryAfter = 100 * time.Millisecond
)

// request is one attempt of a caller.
type request struct {
	call    platform.RequestHeader
	http    *http.Request
	body    []byte
	arrived time.Time
	// deadline is when the caller or the route gives up.
	deadline time.Time
	route    *fleet.Route
	index    *fleet.Index
	// organisation is the holder of the key, or empty.
	organisation string
	priority     int
	service      string
	// age is how old the proof of the configuration was at arrival.
	age time.Duration
	log zerolog.Logger
	// trace collects what the log line at the end says.
	trace trace
}

// trace is what happened to a request.
type trace struct {
	attempts   int
	sent       int
	servers    []string
	waited     time.Duration
	firstEvent time.Duration
	events     int
	// decision is why a failed attempt was not repeated.
	decision retry.Reason
	outcome  string
	status   int
	// mayHaveRun says that a server may have run the request.
	mayHaveRun bool
}

// labels returns the labels of the request in metrics.
func (r *request) labels() telemetry.RequestLabels {
	return telemetry.RequestLabels{Organisation: r.organisation, Class: className(r.priority), Service: r.service}
}

// cost is the expected work in tokens. Tokens that are written take as long as
// about ten that are read.
func (r *request) cost() float64 {
	const writtenTokenCost = 10
	output := r.call.ExpectedOutputTokens
	if output == 0 {
		output = r.call.MaxOutputTokens
	}
	return float64(r.call.PromptTokens + writtenTokenCost*output)
}

// timeLeft returns the time until the caller or the route gives up.
func (r *request) timeLeft(now time.Time) time.Duration { return r.deadline.Sub(now) }

// prepare reads a request and decides whether and where it may run. The error
// says that it did not run.
func (g *Gateway) prepare(w http.ResponseWriter, hr *http.Request) (*request, error) {
	r := &request{http: hr, arrived: clock.Now()}
	call, err := platform.DecodeRequestHeader(hr.Header)
	if err != nil {
		return r, err
	}
	r.call = call
	r.log = g.log.With().Str(telemetry.RequestIDField, call.AttemptID).Logger()
	if r.index = g.view.Index(); r.index == nil {
		return r, notKnown("no configuration was read yet")
	}
	var silence time.Duration
	r.age, silence = g.view.ConfigFreshness(r.arrived)
	if err := r.find(silence, g.bounds.Load()); err != nil {
		return r, err
	}
	r.setDeadline()
	return r, r.readBody(w)
}

// find looks up route and organisation. A request that an old configuration
// doesn't allow may be allowed by the newest one, so it is refused for good
// only by a configuration that is known to be recent.
func (r *request) find(silence time.Duration, bounds *platform.Bounds) error {
	recent := silence <= bounds.ConfigApplyTime
	route, ok := r.index.Route(r.http.Host, r.http.URL.Path)
	if !ok {
		if !recent {
			return notKnown("no route, and the configuration may have changed")
		}
		return errkind.New(errkind.UnknownRoute, "no route for this host and path")
	}
	r.route = route
	r.priority = route.Priority
	r.service = pickTarget(route.Targets, rand.Float64())
	if !r.index.RequiresKey(route) {
		return nil
	}
	if bounds.StrictRevocation && r.age > bounds.RevocationTime-storeMargin {
		return notKnown("the keys may have been withdrawn")
	}
	holder, ok := r.index.Organisation(r.call.Key)
	switch {
	case !ok && !recent:
		return notKnown("unknown key, and the configuration may have changed")
	case !ok:
		return errkind.New(errkind.Unauthenticated, "unknown key")
	}
	r.organisation = holder.Name
	if holder.HasPriority {
		r.priority = holder.Priority
	}
	return nil
}

func notKnown(reason string) error {
	return errkind.New(errkind.StaleTable, "%s", reason).WithRetryAfter(unknownRetryAfter)
}

// pickTarget returns a service by weight; at is between 0 and 1.
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

func (r *request) readBody(w http.ResponseWriter) error {
	limit := int64(defaultMaxBody)
	if n := r.index.Config.Limits.MaxBodyBytes; n > 0 {
		limit = int64(n)
	}
	if r.http.ContentLength > limit {
		return errkind.New(errkind.RequestTooLarge, "body of %d bytes, at most %d are allowed", r.http.ContentLength, limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.http.Body, limit))
	if err == nil {
		r.body = body
		return nil
	}
	var tooLarge *http.MaxBytesError
	if asError(err, &tooLarge) {
		return errkind.New(errkind.RequestTooLarge, "body exceeds %d bytes", limit)
	}
	return errkind.Wrap(errkind.Canceled, err, "the caller left while it sent the body")
}

// context returns a context that ends when the caller leaves, if the request
// may be cancelled, and at the deadline.
func (r *request) context(now time.Time) (context.Context, context.CancelFunc) {
	parent := r.http.Context()
	if !r.route.Repeatable() && r.route.Kind != fleet.Streaming {
		// A non-idempotent request that was sent runs to its end: a cancelled
		// one would leave the caller's side without any record of the outcome.
		parent = context.WithoutCancel(parent)
	}
	return context.WithTimeoutCause(parent, r.timeLeft(now), errDeadline)
}
