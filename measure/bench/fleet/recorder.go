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

// acceptedChange tracks one accepted change set.
type acceptedChange struct {
	appendedAt      time.Time // time of the record in the log
	keys            []table.Key
	nearLogFault    bool // appended near or during a log outage or log partition
	nearRegionFault bool // appended near or during a region partition, which delays it in one region
	expected        int  // processes that ran at appendedAt and still run
	inForce         int  // number of these that have applied it
	maxDelay        time.Duration
}

// recorder applies the log to its own fold as the reference and records when
// each change is in force on each process. It is safe for concurrent use.
type recorder struct {
	mu             sync.Mutex
	fold           *table.State
	changes        map[infra.Offset]*acceptedChange
	digests        map[infra.Offset]table.Digest
	runningReaders int
	openFaults     map[faultKind]int // number of open windows
	catchUps       []time.Duration   // of each process after a region partition
	delays         []time.Duration   // of each change on each process
	starts         []time.Duration   // from process start to the newest offset
	refused        int

	reverts        int
	disagreements  int
	firstViolation string
}

func newRecorder() *recorder {
	return &recorder{
		openFaults: make(map[faultKind]int),
		fold:       table.NewState(), changes: make(map[infra.Offset]*acceptedChange), digests: make(map[infra.Offset]table.Digest),
	}
}

// onAppend applies a record to the reference fold. It must be called for each
// record in order.
func (c *recorder) onAppend(stream string, r infra.Record) {
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
	entry := &acceptedChange{appendedAt: r.Time, nearLogFault: c.openFaults[logFault] > 0, nearRegionFault: c.openFaults[regionFault] > 0, expected: c.runningReaders}
	for _, changed := range set.Changes {
		entry.keys = append(entry.keys, changed.Key)
	}
	c.changes[r.Offset] = entry
}

func (c *recorder) endOffset() infra.Offset {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fold.Offset()
}

// faultKind distinguishes the faults that changes are evaluated separately for.
type faultKind int

const (
	logFault faultKind = iota
	regionFault
)

// openFault begins a fault window. It marks all changes in it, and those that
// are younger than PropagationBound at its start.
func (c *recorder) openFault(k faultKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openFaults[k]++
	for _, entry := range c.changes {
		if time.Since(entry.appendedAt) < PropagationBound {
			entry.nearLogFault = entry.nearLogFault || k == logFault
			entry.nearRegionFault = entry.nearRegionFault || k == regionFault
		}
	}
}

func (c *recorder) closeFault(k faultKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openFaults[k]--
}

// recordCatchUp records how long a process took to catch up after a region
// partition.
func (c *recorder) recordCatchUp(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.catchUps = append(c.catchUps, d)
}

func (c *recorder) onStart(*reader) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runningReaders++
}

// onStop excludes a stopped process from the changes that it has not applied.
func (c *recorder) onStop(r *reader) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runningReaders--
	for offset := r.observedOffset + 1; offset <= c.fold.Offset(); offset++ {
		if entry := c.changes[offset]; entry != nil && !entry.appendedAt.Before(r.started) {
			entry.expected--
		}
	}
}

// observe records the table states of one process until ctx ends.
func (c *recorder) observe(ctx context.Context, r *reader) {
	target := r.startTarget
	for {
		if r.syncer.Wait(ctx, r.observedOffset+1) != nil || r.stopped.Load() {
			return
		}
		offset, digest := r.syncer.Digest()
		view := r.syncer.View()
		c.recordView(r, offset, digest, view)
		if target > 0 && r.observedOffset >= target {
			c.mu.Lock()
			c.starts = append(c.starts, time.Since(r.started))
			c.mu.Unlock()
			target = 0
		}
	}
}

func (c *recorder) recordView(r *reader, offset infra.Offset, digest table.Digest, view *table.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if offset <= r.observedOffset || view.Offset() < r.observedOffset {
		c.reverts++
		c.recordViolation("process %d went back from offset %d to %d", r.slot, r.observedOffset, offset)
		return
	}
	if c.digests[offset] != digest {
		c.disagreements++
		c.recordViolation("process %d has a different table digest at offset %d", r.slot, offset)
	}
	for o := r.observedOffset + 1; o <= view.Offset(); o++ {
		if entry := c.changes[o]; entry != nil {
			c.recordInForce(r, o, entry, view)
		}
	}
	r.observedOffset = view.Offset()
}

// recordInForce records that a change is in force on a process. No row is
// deleted in a run, so an older version of a row is a revert. c.mu must be held.
func (c *recorder) recordInForce(r *reader, offset infra.Offset, entry *acceptedChange, view *table.View) {
	for _, key := range entry.keys {
		if row, _ := view.Get(key); row.Version < offset {
			c.reverts++
			c.recordViolation("process %d at offset %d has %s at version %d", r.slot, view.Offset(), key, row.Version)
		}
	}
	if entry.appendedAt.Before(r.started) {
		return
	}
	entry.inForce++
	if entry.nearRegionFault && r.region != logRegion {
		return // recordCatchUp covers this process
	}
	delay := time.Since(entry.appendedAt)
	entry.maxDelay = max(entry.maxDelay, delay)
	c.delays = append(c.delays, delay)
}

func (c *recorder) recordViolation(format string, args ...any) {
	if c.firstViolation == "" {
		c.firstViolation = fmt.Sprintf(format, args...)
	}
}

// Times holds quantiles of a set of durations.
type Times struct {
	Count           int
	P50, P99, Worst time.Duration
}

func newTimes(list []time.Duration) Times {
	if len(list) == 0 {
		return Times{}
	}
	slices.Sort(list)
	at := func(q float64) time.Duration { return list[int(q*float64(len(list)-1))] }
	return Times{Count: len(list), P50: at(0.5), P99: at(0.99), Worst: list[len(list)-1]}
}

// Rates holds quantiles of a set of rates.
type Rates struct{ P50, P99, Worst float64 }

func newRates(list []float64) Rates {
	if len(list) == 0 {
		return Rates{}
	}
	slices.Sort(list)
	at := func(q float64) float64 { return list[int(q*float64(len(list)-1))] }
	return Rates{P50: at(0.5), P99: at(0.99), Worst: list[len(list)-1]}
}
