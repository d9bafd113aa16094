package membership

import (
	"maps"
	"time"
)

// OutlierConfig sets up Outliers.
type OutlierConfig struct {
	// FailuresInARow is the number of failed requests without a success in
	// between that ejects a server. A request that crashes its server fails on
	// at most two servers, so it ejects none by itself.
	ConsecutiveFailures int
	// BaseHold is the first time out. It doubles with each ejection in a row,
	// up to MaxHold.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// MaxShare is the largest part of the servers of a service that may be out.
	// Above it ejection is ignored: the fault is then not one of single servers,
	// and the few that are left would be overloaded.
	MaxEjectedFraction float64
}

// DefaultOutlierConfig returns the settings that the daemons use.
func DefaultOutlierConfig() OutlierConfig {
	return OutlierConfig{ConsecutiveFailures: 5, BaseEjectionTime: time.Second, MaxEjectionTime: 30 * time.Second, MaxEjectedFraction: 0.5}
}

// OutlierDetector finds servers that answer probes but fail the requests that they
// get. Probes alone never remove such a server, and one that fails fast looks
// idle to a policy that prefers low load.
//
// Outliers has one owner goroutine and isn't safe for concurrent use.
type OutlierDetector struct {
	config  OutlierConfig
	servers map[string]*outlier
}

type outlier struct {
	failures  int
	ejections int
	until     time.Time
}

// NewOutlierDetector returns a set without failures.
func NewOutlierDetector(config OutlierConfig) *OutlierDetector {
	return &OutlierDetector{config: config, servers: make(map[string]*outlier)}
}

// RecordSuccess notes a request that the server answered.
func (o *OutlierDetector) RecordSuccess(id string) { delete(o.servers, id) }

// RecordFailure notes a request that the server failed. After a hold the server gets
// work again, and one more failure ejects it anew.
func (o *OutlierDetector) RecordFailure(now time.Time, id string) {
	s, ok := o.servers[id]
	if !ok {
		s = &outlier{}
		o.servers[id] = s
	}
	s.failures++
	if s.failures < o.config.ConsecutiveFailures || now.Before(s.until) {
		return
	}
	s.until = now.Add(o.hold(s.ejections))
	s.ejections++
}

func (o *OutlierDetector) hold(ejections int) time.Duration {
	hold := o.config.BaseEjectionTime
	for range ejections {
		hold = min(2*hold, o.config.MaxEjectionTime)
	}
	return hold
}

// Retain drops the servers for which known returns false.
func (o *OutlierDetector) Retain(known func(id string) bool) {
	maps.DeleteFunc(o.servers, func(id string, _ *outlier) bool { return !known(id) })
}

// Filter returns the candidates that are not ejected, or all of them if more
// than MaxShare are.
func (o *OutlierDetector) Filter(now time.Time, candidates []Server) []Server {
	kept := make([]Server, 0, len(candidates))
	for _, c := range candidates {
		if s, ok := o.servers[c.ID]; !ok || !now.Before(s.until) {
			kept = append(kept, c)
		}
	}
	if float64(len(candidates)-len(kept)) > o.config.MaxEjectedFraction*float64(len(candidates)) {
		return candidates
	}
	return kept
}
