package gateway

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/retry"
)

// logKind is a category of log lines with its own rate limit.
type logKind int

const (
	logSuccess logKind = iota
	logFailure
	logAttempt
	logKindCount
)

// maxLogsPerSecond limits the lines of each kind per second. Failures get a higher
// limit than successes, because complaints are investigated from them.
var maxLogsPerSecond = [logKindCount]int{logSuccess: 40, logFailure: 120, logAttempt: 120}

// logLimiter limits the rate of log lines under load.
type logLimiter struct {
	now func() time.Time

	mu     sync.Mutex
	second time.Time
	// written and dropped count the lines of the current one-second window, which
	// started at second.
	written [logKindCount]int
	dropped [logKindCount]int
}

func newLogLimiter(now func() time.Time) *logLimiter { return &logLimiter{now: now} }

// allow reports whether a line may be written. On the first call in a new
// one-second window, dropped is the number of lines suppressed in the previous
// window.
func (l *logLimiter) allow(kind logKind) (ok bool, dropped int) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		for _, n := range l.dropped {
			dropped += n
		}
		l.second = now
		l.written, l.dropped = [logKindCount]int{}, [logKindCount]int{}
	}
	if l.written[kind] >= maxLogsPerSecond[kind] {
		l.dropped[kind]++
		return false, dropped
	}
	l.written[kind]++
	return true, dropped
}

// allowLog reports whether a line may be written. It also logs how many lines were
// suppressed in the previous window.
func (g *Gateway) allowLog(kind logKind) bool {
	ok, dropped := g.logLimiter.allow(kind)
	if dropped > 0 {
		g.log.Warn().Int("dropped", dropped).Msg("log lines dropped by the rate limit")
	}
	return ok
}

// recordRequest updates the metrics and writes the log line of a request that
// has ended.
func (g *Gateway) recordRequest(r *request, err *errkind.Error) {
	took := g.logLimiter.now().Sub(r.arrived)
	if !r.arrived.IsZero() {
		g.metrics.ObserveRequest(r.labels(), r.trace.outcome, took)
	}
	kind := logSuccess
	if err != nil {
		kind = logFailure
	}
	if !g.allowLog(kind) {
		return
	}
	line := r.log.Info()
	if err != nil {
		line = r.log.Warn().Str("error", err.Error()).Str("execution", err.Execution.String()).
			Dur("retry_after_ms", err.RetryAfter)
		if r.trace.noRetryReason != "" {
			line.Str("no_retry", string(r.trace.noRetryReason))
		}
		if errors.Is(err, placement.ErrCold) {
			line.Str("reason", placement.ErrCold.Error())
		}
		g.addLoadFields(line, r)
		g.addHeldBack(line, r, err)
	}
	r.addLogFields(line)
	line.Dur("took_ms", took).Msg("request ended")
}

// addLoadFields adds the load of the service, on which decisions to queue or
// reject a request are based.
func (g *Gateway) addLoadFields(line *zerolog.Event, r *request) {
	if r.route == nil {
		return
	}
	inFlight, slots, waiting := g.services.get(r.service, g.state).load()
	line.Int("in_flight", inFlight).Int("slots", slots).Int("waiting", waiting)
}

// addLogFields adds the decisions about a request and their inputs.
func (r *request) addLogFields(line *zerolog.Event) {
	t := r.trace
	line.Str("outcome", t.outcome).Int("status", t.status)
	if r.index != nil {
		line.Int64("config_version", r.index.Config.Version).Dur("config_age_ms", r.configAge)
	}
	if r.route == nil {
		line.Str("host", r.http.Host).Str("path", r.path())
		return
	}
	line.Str("route", r.route.Name).Str("kind", r.route.Kind.String()).Str("service", r.service).
		Str("organisation", r.organisation).Stringer("class", r.urgency).
		Strs("servers", t.servers).Int("sent", t.sent).Dur("waited_ms", t.waited)
	if t.hedge != "" {
		line.Str("hedge", t.hedge)
	}
	if t.timeToFirstEvent > 0 {
		line.Dur("first_event_ms", t.timeToFirstEvent).Dur("server_wait_ms", t.serverWait).Int("events", t.events).
			Dur("longest_gap_ms", t.longestGap).Int("longest_gap_after", t.longestGapAfter).
			Str("late_by", t.lateBy(r.route.LatencyObjective, r.route.EventGapObjective))
	}
}

// logFailedAttempt logs a failed attempt that will be retried.
func (r *request) logFailedAttempt(g *Gateway, err error, d retry.Decision) {
	if !g.allowLog(logAttempt) {
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
