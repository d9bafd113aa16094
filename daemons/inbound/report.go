package inbound

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/serve/bytebudget"
)

const (
	// gaugeInterval is the time between two updates of the gauges.
	gaugeInterval = time.Second
	// minLogInterval is the shortest time between two log lines about what was refused.
	minLogInterval = 10 * time.Second
)

// Reporter reports what the clients of a process take of it: in gauges, and in a log line now
// and then if any were refused.
type Reporter struct {
	Memory      *Memory
	Connections *Connections
	Metrics     *telemetry.Metrics
	Log         zerolog.Logger

	// ended and closed count what was refused since loggedAt.
	ended    map[bytebudget.Reason]int
	closed   int
	loggedAt time.Time
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	r.ended = make(map[bytebudget.Reason]int)
	for clock.Sleep(ctx, gaugeInterval) {
		memory, connections := r.Memory.takeUse(), r.Connections.takeUse()
		r.setGauges(memory, connections)
		for reason, n := range memory.ended {
			r.ended[reason] += n
		}
		r.closed += connections.closed
		if (len(r.ended) > 0 || r.closed > 0) && time.Since(r.loggedAt) >= minLogInterval {
			r.writeLine(memory, connections)
		}
	}
	return nil
}

func (r *Reporter) setGauges(m use, c connUse) {
	r.Metrics.SetGauge("request_bytes", float64(m.held))
	r.Metrics.SetGauge("request_bytes_max", float64(r.Memory.total))
	r.Metrics.SetGauge("request_bytes_free", float64(m.free))
	r.Metrics.SetGauge("requests_waiting_for_memory", float64(m.waiting))
	r.Metrics.SetGauge("connections", float64(c.open))
	r.Metrics.SetGauge("connections_max", float64(r.Connections.max))
}

func (r *Reporter) writeLine(m use, c connUse) {
	line := r.Log.Warn().Int64("bytes_held", m.held).Int64("bytes_max", r.Memory.total).Int("waiting", m.waiting).
		Int("connections", c.open).Int("connections_max", r.Connections.max).
		Int("busy", c.busy).Int("idle", c.idle).Int("head", c.head).Int("connections_closed", r.closed)
	for reason, n := range r.ended {
		line.Int(reason.String(), n)
	}
	line.Msg("clients were refused to stay within the limits of the process")
	clear(r.ended)
	r.closed, r.loggedAt = 0, time.Now()
}
