package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/config/tablesync"
)

// An operator repeats an append whose answer does not arrive in time. Records
// with the same id count once.
const (
	publishTimeout  = time.Second
	publishAttempts = 10
)

// publish changes the weight of one organisation, based on the table of a
// random process in the region of the office.
func (f *fleet) publish(id string, rng *rand.Rand) {
	office := rng.IntN(f.config.Regions)
	list := *f.readers.Load()
	view := list[office+f.config.Regions*rng.IntN(len(list)/f.config.Regions)].syncer.View()
	// The minimum of two draws prefers a few rows, so that operators conflict.
	org := organisationName(office, min(rng.IntN(f.config.Organisations), rng.IntN(f.config.Organisations)))
	row := table.Row{Office: officeName(office), Weight: &table.Weight{Organisation: org, Weight: 1 + float64(rng.IntN(9))}}
	key, _ := row.Key()
	entry, ok := view.Get(key)
	if !ok {
		return // the process has just started and has no table yet
	}
	set := table.ChangeSet{
		ID: id, Office: row.Office, ReadOffset: view.Offset(),
		Changes: []table.Change{{Key: key, BaseVersion: entry.Version, Row: &row}},
	}
	data, err := set.Encode()
	if err != nil {
		return
	}
	client := &Client{Log: f.log, Link: NewLink(latencyBetween(office, logRegion))}
	if office != logRegion && f.regionsPartitioned.Load() {
		client.Link.SetMode(Drop)
	}
	for range publishAttempts {
		ctx, cancel := context.WithTimeout(f.ctx, publishTimeout)
		_, err := client.Append(ctx, tablesync.DefaultStream, data)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(time.Duration(rng.Int64N(int64(publishTimeout))))
	}
}

// setLogPartition starts or ends a network partition between the log and a share
// of the readers. Half of these get errors, the other half no answer.
func (f *fleet) setLogPartition(on bool) {
	for slot := range int(f.config.LogPartitionShare * float64(len(f.links))) {
		mode := Pass
		if on {
			mode = Refuse + LinkMode(slot/f.config.Regions%2)
		}
		f.links[slot].SetMode(mode)
	}
}

// setRegionPartition starts or ends a network partition between the regions.
// Only logRegion can reach the log meanwhile. After the partition it records how
// long each process takes to catch up.
func (f *fleet) setRegionPartition(on bool) {
	f.regionsPartitioned.Store(on)
	mode := Pass
	if on {
		mode = Drop
	}
	for slot, link := range f.links {
		if f.regionOf(slot) != logRegion {
			link.SetMode(mode)
		}
	}
	if on {
		return
	}
	healedAt, end := time.Now(), f.recorder.endOffset()
	for _, r := range *f.readers.Load() {
		go func() {
			if r.syncer.Wait(f.ctx, end) == nil && !r.stopped.Load() {
				f.recorder.recordCatchUp(time.Since(healedAt))
			}
		}()
	}
}

// messageTick is the interval at which the messages between processes are sent
// in batches.
const messageTick = time.Second

// exchangeMessages makes random pairs of processes learn each other's table
// offset until stop is closed.
func (f *fleet) exchangeMessages(stop <-chan struct{}, done chan<- struct{}) {
	defer close(done)
	rng := rand.New(rand.NewPCG(f.config.Seed, 4))
	perTick := f.config.MessagesPerSec * float64(f.config.Readers) * messageTick.Seconds() / 2
	ticker := time.NewTicker(messageTick)
	defer ticker.Stop()
	pendingMessages := 0.0
	for {
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
		list := *f.readers.Load()
		for pendingMessages += perTick; pendingMessages >= 1; pendingMessages-- {
			f.exchangeOffsets(list[rng.IntN(len(list))], list[rng.IntN(len(list))])
		}
	}
}

// convergenceWait is the time after a run in which each process has to reach the
// newest offset. The last replacement and the last append end within it.
const convergenceWait = 2*time.Minute + PropagationBound

func (f *fleet) waitForConvergence() { time.Sleep(convergenceWait) }

func (f *fleet) report(length time.Duration) Report {
	rec := f.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	r := Report{
		Accepted: len(rec.changes), Refused: rec.refused,
		EachReader: newTimes(rec.delays), CatchUps: newTimes(rec.catchUps), Starts: newTimes(rec.starts),
		Reverts: rec.reverts, Disagreements: rec.disagreements, FirstViolation: rec.firstViolation,
	}
	var reachable, disturbed []time.Duration
	for offset, entry := range rec.changes {
		if offset <= infra.Offset(f.config.Regions) {
			continue // the initial rows were published before any process started
		}
		if entry.nearLogFault {
			disturbed = append(disturbed, entry.maxDelay)
		} else {
			reachable = append(reachable, entry.maxDelay)
		}
		if entry.maxDelay > PropagationBound {
			r.Late++
		}
		if entry.inForce < entry.expected {
			r.Missing++
		}
	}
	r.Reachable, r.Disturbed = newTimes(reachable), newTimes(disturbed)
	f.log.mu.Lock()
	usage := f.log.requestCounts
	f.log.mu.Unlock()
	r.ReadsPerSec = float64(usage.reads) / length.Seconds()
	r.PeakReadsPerSec, r.RefusedByRate = usage.peakReadsPerSecond, usage.refused
	var rates []float64
	for _, p := range f.allReaders {
		stats := p.syncer.Stats()
		r.Snapshots += stats.SnapshotsPublished
		r.PeerCatchUps += stats.PeerCatchUps
		ended := p.ended
		if ended.IsZero() {
			ended = time.Now()
		}
		if life := ended.Sub(p.started); life >= length/10 {
			rates = append(rates, float64(p.client.traffic.bytes.Load())/life.Seconds())
		}
	}
	r.BytesPerSec = newRates(rates)
	return r
}
