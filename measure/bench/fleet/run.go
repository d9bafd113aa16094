// Package fleet simulates the table readers of a whole fleet in the virtual time
// of testing/synctest: the production readers of package tablesync, an in-memory
// log and the failures of an ordinary day. It checks invariant 7 of
// docs/design.md and measures how fast changes come into force.
//
// Virtual time includes latencies, waits and timeouts, but no processor time.
package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/config/tablesync"
)

// PropagationBound is the time within which an accepted change must be in force
// on every process.
const PropagationBound = 7 * time.Second

// Window is a period of a run, relative to its start.
type Window struct{ From, To time.Duration }

// Config configures a run.
type Config struct {
	Seed          uint64
	Readers       int
	Regions       int
	Organisations int // in each office
	Duration      time.Duration
	ReadWait      time.Duration // long poll of a reader; 0 is the default of tablesync
	Log           LogConfig

	ChangesPerDay     float64
	BurstAt           time.Duration // 0 is no burst
	BurstChanges      int           // within a minute
	Restarts          int           // spread over the run
	Failures          int
	Outages           []Window // of the log
	LogPartition      Window   // a share of the readers cannot reach the log
	LogPartitionShare float64
	RegionPartition   Window
	MessagesPerSec    float64 // between processes, for each process
}

// Report is the result of a run.
type Report struct {
	Accepted, Refused int
	Reachable         Times // until in force everywhere, for changes while every reader could reach the log
	Disturbed         Times // the same for changes near or during a log outage or log partition
	EachReader        Times // until in force, for each change on each reader
	CatchUps          Times // from the end of RegionPartition until at the offset that was newest then, for each process
	Starts            Times // from process start until at the offset that was newest then
	Late              int   // changes that took longer than PropagationBound
	Missing           int   // changes that a process never applied
	Reverts           int
	Disagreements     int
	FirstViolation    string
	ReadsPerSec       float64
	PeakReadsPerSec   int
	RefusedByRate     int
	BytesPerSec       Rates // of each process that lived at least a tenth of the run
	Snapshots         uint64
	PeerCatchUps      uint64
}

// Run simulates the fleet. It must be called inside a synctest bubble.
func Run(ctx context.Context, c Config) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	f := &fleet{ctx: ctx, config: c, rng: rng, recorder: newRecorder(), log: NewLog(c.Log, rand.New(rand.NewPCG(c.Seed, 2)))}
	f.log.onAppend = f.recorder.onAppend
	f.readers.Store(&[]*reader{})
	for slot := range c.Readers {
		f.links = append(f.links, NewLink(latencyBetween(f.regionOf(slot), logRegion)))
	}
	for office := range c.Regions {
		if err := f.publishInitialRows(office); err != nil {
			return Report{}, err
		}
	}
	for slot := range c.Readers {
		if err := f.startReader(slot); err != nil {
			return Report{}, err
		}
	}
	began := time.Now()
	f.runEvents(began)
	f.waitForConvergence()
	return f.report(time.Since(began)), nil
}

func officeName(n int) string               { return fmt.Sprintf("office-%d", n) }
func organisationName(office, n int) string { return fmt.Sprintf("org-%d-%d", office, n) }

// publishInitialRows publishes the class, organisations and weights of one
// office.
func (f *fleet) publishInitialRows(office int) error {
	name := officeName(office)
	class := fmt.Sprintf("class-%d", office)
	rows := []table.Row{{Office: name, Class: &table.Class{Name: class, Priority: office}}}
	for n := range f.config.Organisations {
		org := organisationName(office, n)
		rows = append(
			rows,
			table.Row{Office: name, Organisation: &table.Organisation{Name: org, KeySHA256: table.HashAPIKey(org), Class: class}},
			table.Row{Office: name, Weight: &table.Weight{Organisation: org, Weight: 1}},
		)
	}
	set := table.ChangeSet{ID: "first-" + name, Office: name, ReadOffset: f.recorder.endOffset()}
	for _, row := range rows {
		key, _ := row.Key()
		set.Changes = append(set.Changes, table.Change{Key: key, Row: &row})
	}
	data, err := set.Encode()
	if err != nil {
		return err
	}
	if _, _, err = f.log.append(tablesync.DefaultStream, data); err != nil {
		return err
	}
	if _, ok := f.recorder.changes[f.recorder.endOffset()]; !ok {
		return errkind.New(errkind.InvalidTable, "the initial rows of %s were refused", name)
	}
	return nil
}

// simEvent is one scheduled event of a run.
type simEvent struct {
	at  time.Duration
	run func()
}

// runEvents executes all events of the configuration at their times.
func (f *fleet) runEvents(began time.Time) {
	events := slices.Concat(f.changeEvents(), f.replacementEvents(), f.faultEvents())
	slices.SortStableFunc(events, func(a, b simEvent) int { return int(a.at - b.at) })
	events = append(events, simEvent{at: f.config.Duration, run: func() {}})
	stop := make(chan struct{})
	done := make(chan struct{})
	go f.exchangeMessages(stop, done)
	for _, e := range events {
		time.Sleep(time.Until(began.Add(e.at)))
		e.run()
	}
	close(stop)
	<-done
}

func (f *fleet) changeEvents() []simEvent {
	var events []simEvent
	number := 0
	add := func(at time.Duration, seed uint64) {
		number++
		id := fmt.Sprintf("change-%d", number)
		events = append(events, simEvent{at, func() { go f.publish(id, rand.New(rand.NewPCG(seed, 3))) }})
	}
	mean := float64(24*time.Hour) / f.config.ChangesPerDay
	for at := time.Duration(f.rng.ExpFloat64() * mean); at < f.config.Duration; at += time.Duration(f.rng.ExpFloat64() * mean) {
		seed := f.rng.Uint64()
		add(at, seed)
		// In one of ten cases two operators of an office edit the same row at
		// nearly the same time.
		if f.rng.IntN(10) == 0 {
			add(at+time.Duration(f.rng.IntN(300))*time.Millisecond, seed)
		}
	}
	if f.config.BurstAt > 0 {
		for range f.config.BurstChanges {
			add(f.config.BurstAt+time.Duration(f.rng.Int64N(int64(time.Minute))), f.rng.Uint64())
		}
	}
	return events
}

func (f *fleet) replacementEvents() []simEvent {
	var events []simEvent
	add := func(away time.Duration) {
		slot := f.rng.IntN(f.config.Readers)
		at := time.Duration(f.rng.Int64N(int64(f.config.Duration * 9 / 10)))
		events = append(events, simEvent{at, func() { f.replaceReader(slot, away) }})
	}
	for range f.config.Restarts {
		add(2 * time.Second)
	}
	for range f.config.Failures {
		add(time.Minute)
	}
	return events
}

func (f *fleet) replaceReader(slot int, away time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if (*f.readers.Load())[slot].stopped.Load() {
		return // a replacement is already in progress
	}
	f.stopReader(slot)
	go func() {
		time.Sleep(away)
		f.mu.Lock()
		defer f.mu.Unlock()
		_ = f.startReader(slot)
	}()
}

func (f *fleet) faultEvents() []simEvent {
	var events []simEvent
	add := func(kind faultKind, w Window, set func(on bool)) {
		if w.To == 0 {
			return
		}
		events = append(
			events,
			simEvent{w.From, func() { f.recorder.openFault(kind); set(true) }},
			simEvent{w.To, func() { set(false) }},
			simEvent{w.To + PropagationBound, func() { f.recorder.closeFault(kind) }},
		)
	}
	for _, w := range f.config.Outages {
		add(logFault, w, f.log.SetDown)
	}
	add(logFault, f.config.LogPartition, f.setLogPartition)
	add(regionFault, f.config.RegionPartition, f.setRegionPartition)
	return events
}
