package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/config/tablesync"
)

// change is one accepted change set.
type change struct {
	at        time.Time // of the record in the log
	keys      []table.Key
	disturbed bool // an outage or a cut began, lasted or ended near it
	apart     bool // the same for regions apart: one of them gets it later
	expected  int  // processes that ran at that time and still run
	inForce   int  // of these, how many have it
	slowest   time.Duration
}

// recorder judges the log with a fold of its own and notes when each change is
// in force on each process. It is safe for concurrent use.
type recorder struct {
	mu       sync.Mutex
	fold     *table.Fold
	changes  map[infra.Offset]*change
	digests  map[infra.Offset]table.Digest
	alive    int
	faults   map[faultKind]int // windows that are open
	catchUps []time.Duration   // of each process after the regions meet again
	delays   []time.Duration   // of each change on each process
	starts   []time.Duration   // from process start to the newest offset
	refused  int

	reverts       int
	disagreements int
	first         string // the first violation
}

func newRecorder() *recorder {
	return &recorder{
		faults: make(map[faultKind]int),
		fold:   table.NewFold(), changes: make(map[infra.Offset]*change), digests: make(map[infra.Offset]table.Digest),
	}
}

// appended is called for each record in order.
func (c *recorder) appended(stream string, r infra.Record) {
	if stream != tablesync.DefaultStream {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.fold.Apply(r)
	c.digests[r.Offset] = c.fold.Digest()
	if v.ID == "" || v.Duplicate {
		return
	}
	if v.Outcome != table.OutcomeAccepted {
		c.refused++
		return
	}
	set, err := table.DecodeChangeSet(r.Data)
	if err != nil {
		return
	}
	entry := &change{at: r.Time, disturbed: c.faults[logFault] > 0, apart: c.faults[regionFault] > 0, expected: c.alive}
	for _, changed := range set.Changes {
		entry.keys = append(entry.keys, changed.Key)
	}
	c.changes[r.Offset] = entry
}

func (c *recorder) end() infra.Offset {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fold.Offset()
}

// faultKind tells apart what the changes in a window are judged by.
type faultKind int

const (
	logFault faultKind = iota
	regionFault
)

// open marks the changes from now on, and those that are younger than Bound.
func (c *recorder) open(k faultKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults[k]++
	for _, entry := range c.changes {
		if time.Since(entry.at) < PropagationBound {
			entry.disturbed = entry.disturbed || k == logFault
			entry.apart = entry.apart || k == regionFault
		}
	}
}

func (c *recorder) close(k faultKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults[k]--
}

// caughtUp notes how long a process needed after the regions met again.
func (c *recorder) caughtUp(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.catchUps = append(c.catchUps, d)
}

func (c *recorder) started(*reader) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.alive++
}

// killed stops waiting for a process.
func (c *recorder) killed(r *reader) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.alive--
	for offset := r.seen + 1; offset <= c.fold.Offset(); offset++ {
		if entry := c.changes[offset]; entry != nil && !entry.at.Before(r.started) {
			entry.expected--
		}
	}
}

// observe follows one process until ctx ends.
func (c *recorder) observe(ctx context.Context, r *reader) {
	target := r.target
	for {
		if r.syncer.Wait(ctx, r.seen+1) != nil || r.dead.Load() {
			return
		}
		offset, digest := r.syncer.Digest()
		view := r.syncer.View()
		c.note(r, offset, digest, view)
		if target > 0 && r.seen >= target {
			c.mu.Lock()
			c.starts = append(c.starts, time.Since(r.started))
			c.mu.Unlock()
			target = 0
		}
	}
}

func (c *recorder) note(r *reader, offset infra.Offset, digest table.Digest, view *table.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if offset <= r.seen || view.Offset() < r.seen {
		c.reverts++
		c.violation("process %d steps from %d to %d", r.slot, r.seen, offset)
		return
	}
	if c.digests[offset] != digest {
		c.disagreements++
		c.violation("process %d at offset %d has another table", r.slot, offset)
	}
	for o := r.seen + 1; o <= view.Offset(); o++ {
		if entry := c.changes[o]; entry != nil {
			c.arrived(r, o, entry, view)
		}
	}
	r.seen = view.Offset()
}

// arrived notes that a change is in force on a process. No row is deleted in a
// run, so an older version of a row is a revert. c.mu is held.
func (c *recorder) arrived(r *reader, offset infra.Offset, entry *change, view *table.View) {
	for _, key := range entry.keys {
		if row, _ := view.Get(key); row.Version < offset {
			c.reverts++
			c.violation("process %d at offset %d has %s at version %d", r.slot, view.Offset(), key, row.Version)
		}
	}
	if entry.at.Before(r.started) {
		return
	}
	entry.inForce++
	if entry.apart && r.region != logRegion {
		return // judged by caughtUp
	}
	delay := time.Since(entry.at)
	entry.slowest = max(entry.slowest, delay)
	c.delays = append(c.delays, delay)
}

func (c *recorder) violation(format string, args ...any) {
	if c.first == "" {
		c.first = fmt.Sprintf(format, args...)
	}
}

// Times are quantiles of a set of times.
type Times struct {
	Count           int
	P50, P99, Worst time.Duration
}

func timesOf(list []time.Duration) Times {
	if len(list) == 0 {
		return Times{}
	}
	slices.Sort(list)
	at := func(q float64) time.Duration { return list[int(q*float64(len(list)-1))] }
	return Times{Count: len(list), P50: at(0.5), P99: at(0.99), Worst: list[len(list)-1]}
}

// Rates are quantiles of a set of rates.
type Rates struct{ P50, P99, Worst float64 }

func ratesOf(list []float64) Rates {
	if len(list) == 0 {
		return Rates{}
	}
	slices.Sort(list)
	at := func(q float64) float64 { return list[int(q*float64(len(list)-1))] }
	return Rates{P50: at(0.5), P99: at(0.99), Worst: list[len(list)-1]}
}
