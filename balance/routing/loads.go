package routing

import "time"

// LoadTable holds the last known load of each server, by this entry's own counts
// and by reports. Policies and wrappers of one service share one Loads.
type LoadTable struct {
	// MaxAge is the age from which a report is no longer used.
	MaxAge  time.Duration
	servers map[string]*known
}

type known struct {
	// own counts the requests of this entry in flight.
	own int
	// sentSince counts the requests of this entry since the last report.
	sentSince int
	report    Load
	at        time.Time
}

// NewLoadTable returns an empty table with the given maximum age of reports.
func NewLoadTable(maxAge time.Duration) *LoadTable {
	return &LoadTable{MaxAge: maxAge, servers: make(map[string]*known)}
}

// Observe takes an event.
func (l *LoadTable) Observe(now time.Time, e Event) {
	if e.Kind == Removed {
		delete(l.servers, e.Server)
		return
	}
	k, ok := l.servers[e.Server]
	if !ok {
		k = &known{}
		l.servers[e.Server] = k
	}
	switch e.Kind {
	case Sent:
		k.own++
		k.sentSince++
	case Finished:
		k.own = max(0, k.own-1)
	case Reported, Probed:
		k.report = e.Load
		k.at = now
		k.sentSince = 0
	case Removed:
	}
}

// InFlight returns the number of requests of this entry at a server.
func (l *LoadTable) InFlight(server string) int {
	if k, ok := l.servers[server]; ok {
		return k.own
	}
	return 0
}

// Report returns the last report of a server, corrected by the requests that
// this entry sent since, and whether there is one younger than MaxAge.
func (l *LoadTable) Report(now time.Time, server string) (Load, bool) {
	k, ok := l.servers[server]
	if !ok || k.at.IsZero() || now.Sub(k.at) > l.MaxAge {
		return Load{}, false
	}
	load := k.report
	load.InFlight += k.sentSince
	return load, true
}

// MeanInFlight returns the mean of the requests in flight in the reports
// younger than MaxAge, and whether there is any.
func (l *LoadTable) MeanInFlight(now time.Time) (float64, bool) {
	sum, reports := 0, 0
	for id := range l.servers {
		if load, ok := l.Report(now, id); ok {
			sum += load.InFlight
			reports++
		}
	}
	if reports == 0 {
		return 0, false
	}
	return float64(sum) / float64(reports), true
}
