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
	// reportInterval is the longest time until a new value is visible at /metrics.
	reportInterval = time.Second
	// MaxOrganisationLabels bounds the number of organisations with their own time
	// series.
	MaxOrganisationLabels = 50
	// MaxClassLabels bounds the number of classes with their own time series.
	MaxClassLabels = 10
	// maxServiceLabels bounds the number of services with their own time series.
	maxServiceLabels = 20
)

// latencyBuckets ranges from 1 ms to about 65 s in powers of two.
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

// NewMetrics returns the metrics of a daemon. Each Metrics has its own registry,
// so that several daemons can run in one process.
func NewMetrics(role, instance string, log zerolog.Logger) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: tallyprom.HistogramTimerType,
		OnRegisterError: func(err error) {
			log.Error().Err(err).Msg("failed to register metric")
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "filbertmux",
		Tags:           map[string]string{"role": role, "instance": instance},
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
		// tally's metrics about itself are of no use to operators.
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

// Close reports the final values and stops the reporter.
func (m *Metrics) Close() error { return m.closer.Close() }

// RequestLabels holds the label values of one request.
type RequestLabels struct {
	Organisation string
	Class        string
	Service      string
}

// ObserveRequest records the outcome and the duration of a request. The outcome is
// "ok" or the name of an error kind.
func (m *Metrics) ObserveRequest(r RequestLabels, outcome string, duration time.Duration) {
	m.requestScope(r).Histogram("request_seconds", latencyBuckets).RecordDuration(duration)
	m.scope.Tagged(map[string]string{
		"service": m.services.Value(r.Service),
		"outcome": outcome,
	}).Counter("requests").Inc(1)
}

// ObserveFirstByte records the time to the first byte of a response.
func (m *Metrics) ObserveFirstByte(r RequestLabels, duration time.Duration) {
	m.requestScope(r).Histogram("first_byte_seconds", latencyBuckets).RecordDuration(duration)
}

// ObserveQueueWait records the time that a request waited for admission.
func (m *Metrics) ObserveQueueWait(r RequestLabels, duration time.Duration) {
	m.requestScope(r).Histogram("queue_wait_seconds", latencyBuckets).RecordDuration(duration)
}

// SetGauge sets the gauge with the given name.
func (m *Metrics) SetGauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

// SetServiceGauge sets the gauge with the given name of a service and one more label. The
// label has few values.
func (m *Metrics) SetServiceGauge(name, service, label, value string, gauge float64) {
	m.scope.Tagged(map[string]string{"service": m.services.Value(service), label: value}).Gauge(name).Update(gauge)
}

// AddToCounter adds n to the counter with the given name.
func (m *Metrics) AddToCounter(name string, n int64) { m.scope.Counter(name).Inc(n) }

// AddToLabelled adds n to the counter with the given name and one label. The label has few
// values.
func (m *Metrics) AddToLabelled(name, label, value string, n int64) {
	m.scope.Tagged(map[string]string{label: value}).Counter(name).Inc(n)
}

func (m *Metrics) requestScope(r RequestLabels) tally.Scope {
	return m.scope.Tagged(map[string]string{
		"organisation": m.organisations.Value(r.Organisation),
		"class":        m.classes.Value(r.Class),
	})
}
