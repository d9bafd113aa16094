package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/config/tablesync"
)

// Operators append again when the answer does not arrive in time; records with
// the same id count once.
const (
	publishTimeout  = time.Second
	publishAttempts = 10
)

// publish changes the weight of one organisation, based on the table of a
// process in the region of the office.
func (f *fleet) publish(id string, rng *rand.Rand) {
	office := rng.IntN(f.config.Regions)
	list := *f.readers.Load()
	view := list[office+f.config.Regions*rng.IntN(len(list)/f.config.Regions)].syncer.View()
	// A few rows are edited often, so that operators meet.
	org := organisationName(office, min(rng.IntN(f.config.Organisations), rng.IntN(f.config.Organisations)))
	row := table.Row{Office: officeName(office), Weight: &table.Weight{Organisation: org, Weight: 1 + float64(rng.IntN(9))}}
	key, _ := row.Key()
	entry, ok := view.Get(key)
	if !ok {
		return // the process has only just started
	}
	set := table.ChangeSet{
		ID: id, Office: row.Office, ReadOffset: view.Offset(),
		Changes: []table.Change{{Key: key, Base: entry.Version, Row: &row}},
	}
	data, err := set.Encode()
	if err != nil {
		return
	}
	client := &Client{Log: f.log, Link: NewLink(latencyBetween(office, logRegion))}
	if office != logRegion && f.apart.Load() {
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

// cutOff separates a share of the readers from the log. Half of them get
// errors, the other half no answer.
func (f *fleet) cutOff(on bool) {
	for slot := range int(f.config.LogPartitionShare * float64(len(f.links))) {
		mode := Pass
		if on {
			mode = Refuse + LinkMode(slot/f.config.Regions%2)
		}
		f.links[slot].SetMode(mode)
	}
}

// cutRegions separates the regions; only one of them keeps the log.
func (f *fleet) cutRegions(on bool) {
	f.apart.Store(on)
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
	met, end := time.Now(), f.rec.end()
	for _, r := range *f.readers.Load() {
		go func() {
			if r.syncer.Wait(f.ctx, end) == nil && !r.dead.Load() {
				f.rec.caughtUp(time.Since(met))
			}
		}()
	}
}

// messageTick groups the messages between processes.
const messageTick = time.Second

// exchangeMessages lets processes learn each other's offsets until stop.
func (f *fleet) exchangeMessages(stop <-chan struct{}, done chan<- struct{}) {
	defer close(done)
	rng := rand.New(rand.NewPCG(f.config.Seed, 4))
	perTick := f.config.MessagesPerSec * float64(f.config.Readers) * messageTick.Seconds() / 2
	ticker := time.NewTicker(messageTick)
	defer ticker.Stop()
	owed := 0.0
	for {
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
		list := *f.readers.Load()
		for owed += perTick; owed >= 1; owed-- {
			f.exchange(list[rng.IntN(len(list))], list[rng.IntN(len(list))])
		}
	}
}

// settleTime is the time after a run in which each process has to be at the
// newest offset. The last replacement and the last append are over by then.
const settleTime = 2*time.Minute + PropagationBound

func (f *fleet) settle() { time.Sleep(settleTime) }

func (f *fleet) report(length time.Duration) Report {
	c := f.rec
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{
		Accepted: len(c.changes), Refused: c.refused,
		EachReader: timesOf(c.delays), CatchUps: timesOf(c.catchUps), Starts: timesOf(c.starts),
		Reverts: c.reverts, Disagreements: c.disagreements, FirstViolation: c.first,
	}
	var reachable, disturbed []time.Duration
	for offset, entry := range c.changes {
		if offset <= infra.Offset(f.config.Regions) {
			continue // the first rows are older than all processes
		}
		if entry.disturbed {
			disturbed = append(disturbed, entry.slowest)
		} else {
			reachable = append(reachable, entry.slowest)
		}
		if entry.slowest > PropagationBound {
			r.Late++
		}
		if entry.inForce < entry.expected {
			r.Missing++
		}
	}
	r.Reachable, r.Disturbed = timesOf(reachable), timesOf(disturbed)
	f.log.mu.Lock()
	usage := f.log.usage
	f.log.mu.Unlock()
	r.ReadsPerSec = float64(usage.reads) / length.Seconds()
	r.PeakReadsPerSec, r.RefusedByRate = usage.peak, usage.refused
	var rates []float64
	for _, p := range f.all {
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
	r.BytesPerSec = ratesOf(rates)
	return r
}
