package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

const (
	// reportInterval is the delay until a new value is visible at /metrics.
	reportInterval = time.Second
	// MaxOrganisationLabels bounds the organisations with their own series.
	MaxOrganisationLabels = 50
	// MaxClassLabels bounds the classes with their own series.
	MaxClassLabels = 10
	// maxServiceLabels bounds the services with their own series.
	maxServiceLabels = 20
)

// latencyBuckets spans 1 ms to about 65 s in powers of two.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

// Metrics records the metrics of one daemon and serves them.
type Metrics struct {
	scope         tally.Scope
	closer        io.Closer
	handler       http.Handler
	organisations *LabelLimiter
	classes       *LabelLimiter
	services      *LabelLimiter
}

// NewMetrics returns metrics for one role. Each value has its own registry, so
// that several daemons can run in one process.
func NewMetrics(role, instance string, log zerolog.Logger) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: tallyprom.HistogramTimerType,
		OnRegisterError: func(err error) {
			log.Error().Err(err).Msg("register metric")
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "filbertmux",
		Tags:           map[string]string{"role": role, "instance": instance},
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
		// tally's own metrics about itself are of no use to operators.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		scope:         scope,
		closer:        closer,
		handler:       reporter.HTTPHandler(),
		organisations: NewLabelLimiter(MaxOrganisationLabels),
		classes:       NewLabelLimiter(MaxClassLabels),
		services:      NewLabelLimiter(maxServiceLabels),
	}
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports the last values and stops the reporter.
func (m *Metrics) Close() error { return m.closer.Close() }

// Request names the labels of one request.
type RequestLabels struct {
	Organisation string
	Class        string
	Service      string
}

// Answered records the outcome and duration of a request. The outcome is "ok"
// or the name of an error kind.
func (m *Metrics) ObserveRequest(r RequestLabels, outcome string, duration time.Duration) {
	m.tagged(r).Histogram("request_seconds", latencyBuckets).RecordDuration(duration)
	m.scope.Tagged(map[string]string{
		"service": m.services.Value(r.Service),
		"outcome": outcome,
	}).Counter("requests").Inc(1)
}

// FirstByte records the time to the first byte of an answer.
func (m *Metrics) ObserveFirstByte(r RequestLabels, duration time.Duration) {
	m.tagged(r).Histogram("first_byte_seconds", latencyBuckets).RecordDuration(duration)
}

// QueueWait records the time that a request waited for admission.
func (m *Metrics) ObserveQueueWait(r RequestLabels, duration time.Duration) {
	m.tagged(r).Histogram("queue_wait_seconds", latencyBuckets).RecordDuration(duration)
}

// Gauge sets a gauge of the daemon.
func (m *Metrics) SetGauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

// Count adds n to a counter of the daemon.
func (m *Metrics) AddToCounter(name string, n int64) { m.scope.Counter(name).Inc(n) }

func (m *Metrics) tagged(r RequestLabels) tally.Scope {
	return m.scope.Tagged(map[string]string{
		"organisation": m.organisations.Value(r.Organisation),
		"class":        m.classes.Value(r.Class),
	})
}
