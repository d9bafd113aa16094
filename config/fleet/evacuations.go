package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// EvacuationChange is a record by which the operators ask for the evacuation of a failure
// domain, or take that back.
type EvacuationChange struct {
	Domain string
	// Offset increases with each record.
	Offset int64
	// Withdrawn means that the evacuation is taken back.
	Withdrawn bool
	// Unreadable means that the record says nothing. The domain stays as it is.
	Unreadable bool
}

// Evacuation is an evacuated failure domain.
type Evacuation struct {
	Domain string
	// Offset is that of the record that began the evacuation.
	Offset int64
}

// EvacuationView is what one process knows about the evacuated failure domains.
type EvacuationView struct {
	// EndOffset means that all records before this offset are taken into account, in an era
	// of the store; later eras are higher. It is 0 if no record was read.
	EndOffset int64
	Era       int64
	// Domains is sorted by domain.
	Domains []Evacuation
}

// EvacuationRead is the result of one read of the records.
type EvacuationRead struct {
	Changes []EvacuationChange
	// Snapshot means that Changes holds the newest record of each failure domain, and not
	// those since the last read.
	Snapshot bool
	// Complete means that the store had no further records when the read was sent.
	Complete bool
	// EndOffset is the offset at which the next read begins, in an era of the store.
	EndOffset int64
	Era       int64
	// StartedOver means that the store has come back from an older copy since the last read.
	// Records that are missing in it are written again within seconds.
	StartedOver bool
	// Sent is when the read was sent.
	Sent time.Time
}

// Evacuations holds the failure domains whose evacuation the operators have asked for. Their
// backend servers get no new requests. The zero value holds none.
//
// It is designed for processes that read the records from the store, some of which may be
// unable to reach it. Such a process adopts the view of another one that has read further.
// As soon as its own reads have caught up, they count alone: what a process reads from the
// store is newer than any view that it got before it sent the read.
//
// Evacuations isn't safe for concurrent use.
type Evacuations struct {
	own EvacuationView
	// reported is the view of another process, which counts while it is further than own.
	// It was received at reportedAt.
	reported   EvacuationView
	reportedAt time.Time
}

// ApplyRead applies a read of the store and returns the evacuations that began and ended by
// it.
func (e *Evacuations) ApplyRead(r EvacuationRead) EvacuationTransitions {
	before := e.View()
	switch {
	case r.StartedOver:
		e.own.forgetOffsets()
		e.reported = EvacuationView{}
	case r.Snapshot:
		e.own.Domains = keepListed(e.own.Domains, r.Changes)
	}
	for _, c := range r.Changes {
		e.own.apply(c)
	}
	e.own.EndOffset, e.own.Era = r.EndOffset, r.Era
	if r.Complete && r.Sent.After(e.reportedAt) {
		e.reported = EvacuationView{}
	}
	return transitions(before, e.View())
}

// Confirm records that the store had no records at a time beyond those of the own reads. Like
// a complete read that was sent at that time, it overrides the view that another process sent
// before. It returns the evacuations that began and ended by it.
func (e *Evacuations) Confirm(at time.Time) EvacuationTransitions {
	before := e.View()
	if at.After(e.reportedAt) {
		e.reported = EvacuationView{}
	}
	return transitions(before, e.View())
}

// ApplyReport adopts the view that another process has sent, if that has read further. It
// returns the evacuations that began and ended by it.
func (e *Evacuations) ApplyReport(now time.Time, v EvacuationView) EvacuationTransitions {
	before := e.View()
	if !v.furtherThan(before) {
		return EvacuationTransitions{}
	}
	e.reported, e.reportedAt = v, now
	return transitions(before, v)
}

// View returns the view that counts. The caller must not modify it.
func (e *Evacuations) View() EvacuationView {
	if e.reported.furtherThan(e.own) {
		return e.reported
	}
	return e.own
}

// furtherThan reports whether v takes more records into account than other.
func (v EvacuationView) furtherThan(other EvacuationView) bool {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.EndOffset, other.EndOffset)) > 0
}

// Has reports whether a failure domain is evacuated.
func (v EvacuationView) Has(domain string) bool {
	_, found := v.find(domain)
	return found
}

// Names returns the evacuated failure domains.
func (v EvacuationView) Names() []string {
	names := make([]string, 0, len(v.Domains))
	for _, d := range v.Domains {
		names = append(names, d.Domain)
	}
	return names
}

func (v EvacuationView) find(domain string) (int, bool) {
	return slices.BinarySearchFunc(v.Domains, domain, func(d Evacuation, name string) int {
		return strings.Compare(d.Domain, name)
	})
}

// apply applies one record. Views that were returned before stay as they are.
func (v *EvacuationView) apply(c EvacuationChange) {
	at, found := v.find(c.Domain)
	if c.Unreadable || found && c.Offset <= v.Domains[at].Offset {
		// A snapshot may have included the record already.
		return
	}
	v.Domains = slices.Clone(v.Domains)
	switch {
	case c.Withdrawn && found:
		v.Domains = slices.Delete(v.Domains, at, at+1)
	case !c.Withdrawn && !found:
		v.Domains = slices.Insert(v.Domains, at, Evacuation{Domain: c.Domain, Offset: c.Offset})
	case !c.Withdrawn:
		v.Domains[at].Offset = c.Offset
	}
}

// forgetOffsets makes any record newer than those that were applied. Views that were returned
// before stay as they are.
func (v *EvacuationView) forgetOffsets() {
	v.Domains = slices.Clone(v.Domains)
	for i := range v.Domains {
		v.Domains[i].Offset = -1
	}
}

// keepListed returns the evacuations whose failure domains a snapshot lists. The newest
// record of the others was deleted, which is how an evacuation is taken back.
func keepListed(domains []Evacuation, snapshot []EvacuationChange) []Evacuation {
	var kept []Evacuation
	for _, d := range domains {
		if slices.ContainsFunc(snapshot, func(c EvacuationChange) bool { return c.Domain == d.Domain }) {
			kept = append(kept, d)
		}
	}
	return kept
}

// EvacuationTransitions are the evacuations that began and ended by one read or report.
type EvacuationTransitions struct {
	Began []Evacuation
	Ended []Evacuation
}

// Empty reports whether nothing began or ended.
func (t EvacuationTransitions) Empty() bool { return len(t.Began)+len(t.Ended) == 0 }

func transitions(before, after EvacuationView) EvacuationTransitions {
	return EvacuationTransitions{Began: missingFrom(before, after.Domains), Ended: missingFrom(after, before.Domains)}
}

// missingFrom returns the evacuations whose failure domains a view doesn't have.
func missingFrom(v EvacuationView, domains []Evacuation) []Evacuation {
	var missing []Evacuation
	for _, d := range domains {
		if !v.Has(d.Domain) {
			missing = append(missing, d)
		}
	}
	return missing
}
