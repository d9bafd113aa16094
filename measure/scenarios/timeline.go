package scenarios

import (
	"time"
)

// Fault is the begin or the end of a fault, or a change by operators.
type Fault struct {
	// After is the time since the start of the run.
	After time.Duration `json:"after"`
	Text  string        `json:"text"`
}

// fault prints a fault and keeps it for the report.
func (r *randomRun) fault(text string) {
	f := Fault{After: time.Since(r.began), Text: text}
	r.mu.Lock()
	r.faults = append(r.faults, f)
	r.mu.Unlock()
	r.t.Logf("%7.2f s  %s", f.After.Seconds(), text)
}

// countServed counts a complete answer.
func (r *randomRun) countServed(kind string) {
	r.countEvent(kind + " done")
	second := int(time.Since(r.began) / time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.served[kind]) <= second {
		r.served[kind] = append(r.served[kind], 0)
	}
	r.served[kind][second]++
}
