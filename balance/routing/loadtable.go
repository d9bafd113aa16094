package routing

import "time"

// LoadTable holds the last known load of each server, from this entry's own counts
// and from the servers' reports. The policies and wrappers of a service share one
// LoadTable.
type LoadTable struct {
	// MaxAge is the maximum age of a report that is used.
	MaxAge  time.Duration
	servers map[string]*serverLoad
}

type serverLoad struct {
	// inFlight counts the requests of this entry in flight.
	inFlight int
	// sentSince counts the requests of this entry since the last report.
	sentSince  int
	report     Load
	reportedAt time.Time
}

// NewLoadTable returns an empty table with the given maximum age of reports.
func NewLoadTable(maxAge time.Duration) *LoadTable {
	return &LoadTable{MaxAge: maxAge, servers: make(map[string]*serverLoad)}
}

// Observe updates the table from an event.
func (t *LoadTable) Observe(now time.Time, e Event) {
	if e.Kind == Removed {
		delete(t.servers, e.Server)
		return
	}
	s, ok := t.servers[e.Server]
	if !ok {
		s = &serverLoad{}
		t.servers[e.Server] = s
	}
	switch e.Kind {
	case Sent:
		s.inFlight++
		s.sentSince++
	case Finished:
		s.inFlight = max(0, s.inFlight-1)
	case Reported, Probed:
		s.report = e.Load
		s.reportedAt = now
		s.sentSince = 0
	case Removed:
	}
}

// InFlight returns the number of requests of this entry in flight at a server.
func (t *LoadTable) InFlight(server string) int {
	if s, ok := t.servers[server]; ok {
		return s.inFlight
	}
	return 0
}

// Report returns the last report of a server, plus the requests that this entry has
// sent to the server since. It returns false if there is no report or the last one
// is older than MaxAge.
func (t *LoadTable) Report(now time.Time, server string) (Load, bool) {
	s, ok := t.servers[server]
	if !ok || s.reportedAt.IsZero() || now.Sub(s.reportedAt) > t.MaxAge {
		return Load{}, false
	}
	load := s.report
	load.InFlight += s.sentSince
	return load, true
}

// MeanInFlight returns the mean number of requests in flight over the servers whose
// last report is at most MaxAge old. It returns false if there are none.
func (t *LoadTable) MeanInFlight(now time.Time) (float64, bool) {
	sum, reports := 0, 0
	for id := range t.servers {
		if load, ok := t.Report(now, id); ok {
			sum += load.InFlight
			reports++
		}
	}
	if reports == 0 {
		return 0, false
	}
	return float64(sum) / float64(reports), true
}
