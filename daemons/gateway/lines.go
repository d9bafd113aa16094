package gateway

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/retry"
)

// lineKind groups log lines that are limited together.
type lineKind int

const (
	lineAnswered lineKind = iota
	lineFailed
	lineAttempt
	lineKinds
)

// maxLines bounds the lines of a kind in a second. Failures have more room than
// successes, because they are what a complaint is about.
var maxLines = [lineKinds]int{lineAnswered: 40, lineFailed: 120, lineAttempt: 120}

// lineLimiter bounds the volume of the log under load.
type lineLimiter struct {
	now func() time.Time

	mu      sync.Mutex
	second  time.Time
	written [lineKinds]int
	dropped [lineKinds]int
}

func newLineLimiter(now func() time.Time) *lineLimiter { return &lineLimiter{now: now} }

// allow reports whether a line may be written. dropped is the number of lines
// that were left out in the last second with any, if this line begins a new one.
func (l *lineLimiter) allow(kind lineKind) (ok bool, dropped int) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		for _, n := range l.dropped {
			dropped += n
		}
		l.second = now
		l.written, l.dropped = [lineKinds]int{}, [lineKinds]int{}
	}
	if l.written[kind] >= maxLines[kind] {
		l.dropped[kind]++
		return false, dropped
	}
	l.written[kind]++
	return true, dropped
}

// allowLine is allow, and says in the log how many lines were left out.
func (g *Gateway) allowLine(kind lineKind) bool {
	ok, dropped := g.lines.allow(kind)
	if dropped > 0 {
		g.log.Warn().Int("dropped", dropped).Msg("log lines left out")
	}
	return ok
}

// report writes the line and the metrics of a request that ended.
func (g *Gateway) report(r *request, err *errkind.Error) {
	took := g.lines.now().Sub(r.arrived)
	if !r.arrived.IsZero() {
		g.metrics.ObserveRequest(r.labels(), r.trace.outcome, took)
	}
	kind := lineAnswered
	if err != nil {
		kind = lineFailed
	}
	if !g.allowLine(kind) {
		return
	}
	line := r.log.Info()
	if err != nil {
		line = r.log.Warn().Str("error", err.Error()).Str("execution", err.Execution.String()).
			Dur("retry_after_ms", err.RetryAfter)
		if r.trace.decision != "" {
			line.Str("no_retry", string(r.trace.decision))
		}
		g.addLoad(line, r)
	}
	r.describe(line)
	line.Dur("took_ms", took).Msg("request ended")
}

// addLoad adds what a decision about waiting or refusing rests on.
func (g *Gateway) addLoad(line *zerolog.Event, r *request) {
	if r.route == nil {
		return
	}
	inFlight, slots, waiting := g.services.get(r.service, g.view).load()
	line.Int("in_flight", inFlight).Int("slots", slots).Int("waiting", waiting)
}

// describe adds what was decided about a request and by which inputs.
func (r *request) describe(line *zerolog.Event) {
	t := r.trace
	line.Str("outcome", t.outcome).Int("status", t.status)
	if r.index != nil {
		line.Int64("config_version", r.index.Config.Version).Dur("config_age_ms", r.age)
	}
	if r.route == nil {
		line.Str("host", r.http.Host).Str("path", r.http.URL.Path)
		return
	}
	line.Str("route", r.route.Name).Str("kind", r.route.Kind.String()).Str("service", r.service).
		Str("organisation", r.organisation).Int("priority", r.priority).
		Strs("servers", t.servers).Int("sent", t.sent).Dur("waited_ms", t.waited)
	if t.firstEvent > 0 {
		line.Dur("first_event_ms", t.firstEvent).Int("events", t.events)
	}
}

// logAttempt writes the line of a failed attempt that is repeated.
func (r *request) logAttempt(g *Gateway, err error, d retry.Decision) {
	if !g.allowLine(lineAttempt) {
		return
	}
	e := errkind.Of(err)
	server := ""
	if n := len(r.trace.servers); n > 0 {
		server = r.trace.servers[n-1]
	}
	r.log.Warn().Str("error", e.Error()).Str("execution", e.Execution.String()).Str("server", server).
		Int("attempt", r.trace.attempts).Int("sent", r.trace.sent).Int("max_sent", r.route.MaxAttempts).
		Dur("delay_ms", d.Delay).Msg("attempt failed, trying another server")
}
