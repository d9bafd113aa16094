// Package fleet runs the table readers of a whole fleet in the virtual time of
// testing/synctest: the real tablesync readers, a log in memory and the
// failures of an ordinary day. It measures invariant 7 of docs/design.md.
//
// Virtual time contains latencies, waits and time-outs; it does not contain
// processor time.
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

// PropagationBound is the time in which an accepted change is in force everywhere.
const PropagationBound = 7 * time.Second

// Window is a part of a run, from its start.
type Window struct{ From, To time.Duration }

// Config describes a run.
type Config struct {
	Seed          uint64
	Readers       int
	Regions       int
	Organisations int // in each office
	Duration      time.Duration
	ReadWait      time.Duration // 0 is the default of tablesync
	Log           LogConfig

	ChangesPerDay     float64
	BurstAt           time.Duration // 0 is no burst
	BurstChanges      int           // within a minute
	Restarts          int           // spread over the run
	Failures          int
	Outages           []Window // of the log
	LogPartition      Window   // a share of the readers can't reach the log
	LogPartitionShare float64
	RegionPartition   Window
	MessagesPerSec    float64 // between processes, for each process
}

// Report is the result of a run.
type Report struct {
	Accepted, Refused int
	Reachable         Times // changes while each reader could reach the log, until in force everywhere
	Disturbed         Times // changes near or during an outage or a cut
	EachReader        Times // each change on each reader
	CatchUps          Times // from the end of RegionsApart to the offset that was newest then, each process
	Starts            Times // from process start to the offset that was newest then
	Late              int   // changes beyond Bound
	Missing           int   // changes that a process never got
	Reverts           int
	Disagreements     int
	FirstViolation    string
	ReadsPerSec       float64
	PeakReadsPerSec   int
	RefusedByRate     int
	BytesPerSec       Rates // of each process start that lived a tenth of the run
	Snapshots         uint64
	PeerCatchUps      uint64
}

// Run executes the run. It has to be called inside a synctest bubble.
func Run(ctx context.Context, c Config) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rng := rand.New(rand.NewPCG(c.Seed, 1))
	f := &fleet{ctx: ctx, config: c, rng: rng, rec: newRecorder(), log: NewLog(c.Log, rand.New(rand.NewPCG(c.Seed, 2)))}
	f.log.onAppend = f.rec.appended
	f.readers.Store(&[]*reader{})
	for slot := range c.Readers {
		f.links = append(f.links, NewLink(latencyBetween(f.regionOf(slot), logRegion)))
	}
	for office := range c.Regions {
		if err := f.publishFirst(office); err != nil {
			return Report{}, err
		}
	}
	for slot := range c.Readers {
		if err := f.start(slot); err != nil {
			return Report{}, err
		}
	}
	began := time.Now()
	f.drive(began)
	f.settle()
	return f.report(time.Since(began)), nil
}

func officeName(n int) string               { return fmt.Sprintf("office-%d", n) }
func organisationName(office, n int) string { return fmt.Sprintf("org-%d-%d", office, n) }

// publishFirst publishes the rows of one office.
func (f *fleet) publishFirst(office int) error {
	name := officeName(office)
	class := fmt.Sprintf("class-%d", office)
	rows := []table.Row{{Office: name, Class: &table.Class{Name: class, Priority: office}}}
	for n := range f.config.Organisations {
		org := organisationName(office, n)
		rows = append(
			rows,
			table.Row{Office: name, Organisation: &table.Organisation{Name: org, KeySHA256: table.HashKey(org), Class: class}},
			table.Row{Office: name, Weight: &table.Weight{Organisation: org, Weight: 1}},
		)
	}
	set := table.ChangeSet{ID: "first-" + name, Office: name, ReadOffset: f.rec.end()}
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
	if _, ok := f.rec.changes[f.rec.end()]; !ok {
		return errkind.New(errkind.InvalidTable, "the first rows of %s were refused", name)
	}
	return nil
}

// event is something that happens during a run.
type event struct {
	at time.Duration
	do func()
}

// drive runs all events of the configuration.
func (f *fleet) drive(began time.Time) {
	events := slices.Concat(f.changeEvents(), f.replacementEvents(), f.faultEvents())
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	events = append(events, event{at: f.config.Duration, do: func() {}})
	stop := make(chan struct{})
	done := make(chan struct{})
	go f.exchangeMessages(stop, done)
	for _, e := range events {
		time.Sleep(time.Until(began.Add(e.at)))
		e.do()
	}
	close(stop)
	<-done
}

func (f *fleet) changeEvents() []event {
	var events []event
	number := 0
	add := func(at time.Duration, seed uint64) {
		number++
		id := fmt.Sprintf("change-%d", number)
		events = append(events, event{at, func() { go f.publish(id, rand.New(rand.NewPCG(seed, 3))) }})
	}
	mean := float64(24*time.Hour) / f.config.ChangesPerDay
	for at := time.Duration(f.rng.ExpFloat64() * mean); at < f.config.Duration; at += time.Duration(f.rng.ExpFloat64() * mean) {
		seed := f.rng.Uint64()
		add(at, seed)
		// Two operators of an office edit the same row at nearly the same time.
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

func (f *fleet) replacementEvents() []event {
	var events []event
	add := func(away time.Duration) {
		slot := f.rng.IntN(f.config.Readers)
		at := time.Duration(f.rng.Int64N(int64(f.config.Duration * 9 / 10)))
		events = append(events, event{at, func() { f.replace(slot, away) }})
	}
	for range f.config.Restarts {
		add(2 * time.Second)
	}
	for range f.config.Failures {
		add(time.Minute)
	}
	return events
}

func (f *fleet) replace(slot int, away time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if (*f.readers.Load())[slot].dead.Load() {
		return // it is being replaced already
	}
	f.kill(slot)
	go func() {
		time.Sleep(away)
		f.mu.Lock()
		defer f.mu.Unlock()
		_ = f.start(slot)
	}()
}

func (f *fleet) faultEvents() []event {
	var events []event
	add := func(kind faultKind, w Window, set func(on bool)) {
		if w.To == 0 {
			return
		}
		events = append(
			events,
			event{w.From, func() { f.rec.open(kind); set(true) }},
			event{w.To, func() { set(false) }},
			event{w.To + PropagationBound, func() { f.rec.close(kind) }},
		)
	}
	for _, w := range f.config.Outages {
		add(logFault, w, f.log.SetDown)
	}
	add(logFault, f.config.LogPartition, f.cutOff)
	add(regionFault, f.config.RegionPartition, f.cutRegions)
	return events
}
