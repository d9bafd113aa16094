package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/telemetry"
)

// heldBackGauge is the gauge of the servers that get no requests, by service and reason.
const heldBackGauge = "servers_held_back"

// heldBack counts the servers that can't start a request with a constraint now, by reason.
func (s *service) heldBack(now time.Time, c placement.Constraint) placement.HeldBack {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.HeldBack(now, c)
}

// addHeldBack adds to the log line of a refused request what kept servers from being used,
// with the number of servers for each reason.
func (g *Gateway) addHeldBack(line *zerolog.Event, r *request, err *errkind.Error) {
	if r.route == nil || !dependsOnServers(err) {
		return
	}
	held := g.services.get(r.service, g.state).heldBack(clock.Now(), r.constraint(r.trace.servers))
	counts := zerolog.Dict()
	for _, reason := range placement.Reasons() {
		if held[reason] > 0 {
			counts.Int(reason.String(), held[reason])
		}
	}
	line.Dict("held_back", counts)
}

// dependsOnServers reports whether a request was refused because no server could take it.
func dependsOnServers(err *errkind.Error) bool {
	switch err.Kind {
	case errkind.NoBackendServer, errkind.DeadlineUnreachable, errkind.QueueFull, errkind.BackendUnavailable:
		return err.Execution == errkind.NotRun
	default:
		return false
	}
}

// reportHeldBack sets the gauges of the servers that are held back. It is called with the
// load reports and not for each request, because it looks at each server.
func (s *serviceRegistry) reportHeldBack(now time.Time, metrics *telemetry.Metrics) {
	for _, svc := range s.all() {
		held := svc.heldBack(now, placement.Constraint{})
		for _, reason := range placement.Reasons() {
			if held[reason] != svc.reportedHeldBack[reason] {
				metrics.SetServiceGauge(heldBackGauge, svc.name, "reason", reason.String(), float64(held[reason]))
			}
		}
		svc.reportedHeldBack = held
	}
}
