package membership

import (
	"maps"
	"time"
)

// OutlierConfig holds the parameters of an OutlierDetector.
type OutlierConfig struct {
	// ConsecutiveFailures is the number of failed requests without a success in
	// between after which a server is ejected. A request that crashes its server
	// is sent to at most two servers, so it ejects none by itself.
	ConsecutiveFailures int
	// BaseEjectionTime is the duration of the first ejection. It doubles with each
	// consecutive ejection, up to MaxEjectionTime.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// MaxEjectedFraction is the largest fraction of the servers of a service that
	// may be ejected. Above it, ejections are ignored, because the fault is then not
	// in single servers, and the few remaining servers would be overloaded.
	MaxEjectedFraction float64
}

// DefaultOutlierConfig returns the parameters that the daemons use.
func DefaultOutlierConfig() OutlierConfig {
	return OutlierConfig{
		ConsecutiveFailures: 5,
		BaseEjectionTime:    time.Second,
		MaxEjectionTime:     30 * time.Second,
		MaxEjectedFraction:  0.5,
	}
}

// OutlierDetector ejects servers that answer probes but fail their requests. Probes
// alone never detect such a server, and one that fails fast looks idle to a policy
// that prefers low load.
//
// An OutlierDetector isn't safe for concurrent use.
type OutlierDetector struct {
	config  OutlierConfig
	servers map[string]*outlierState
}

type outlierState struct {
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
}

// NewOutlierDetector returns a detector without recorded failures.
func NewOutlierDetector(config OutlierConfig) *OutlierDetector {
	return &OutlierDetector{config: config, servers: make(map[string]*outlierState)}
}

// RecordSuccess records a request that the server answered, and ends its ejection.
func (d *OutlierDetector) RecordSuccess(id string) { delete(d.servers, id) }

// RecordFailure records a request that the server failed. After an ejection the
// server gets requests again, and a single further failure ejects it again.
func (d *OutlierDetector) RecordFailure(now time.Time, id string) {
	s, ok := d.servers[id]
	if !ok {
		s = &outlierState{}
		d.servers[id] = s
	}
	s.consecutiveFailures++
	if s.consecutiveFailures < d.config.ConsecutiveFailures || now.Before(s.ejectedUntil) {
		return
	}
	s.ejectedUntil = now.Add(d.ejectionTime(s.ejections))
	s.ejections++
}

func (d *OutlierDetector) ejectionTime(ejections int) time.Duration {
	duration := d.config.BaseEjectionTime
	for range ejections {
		duration = min(2*duration, d.config.MaxEjectionTime)
	}
	return duration
}

// Retain removes the servers for which known returns false.
func (d *OutlierDetector) Retain(known func(id string) bool) {
	maps.DeleteFunc(d.servers, func(id string, _ *outlierState) bool { return !known(id) })
}

// Ejected reports whether a server is ejected. Filter may keep it nevertheless.
func (d *OutlierDetector) Ejected(now time.Time, id string) bool {
	s, ok := d.servers[id]
	return ok && now.Before(s.ejectedUntil)
}

// Filter returns the candidates that are not ejected, or all candidates if more
// than MaxEjectedFraction of them are ejected.
func (d *OutlierDetector) Filter(now time.Time, candidates []Server) []Server {
	kept := make([]Server, 0, len(candidates))
	for _, c := range candidates {
		if !d.Ejected(now, c.ID) {
			kept = append(kept, c)
		}
	}
	if float64(len(candidates)-len(kept)) > d.config.MaxEjectedFraction*float64(len(candidates)) {
		return candidates
	}
	return kept
}
