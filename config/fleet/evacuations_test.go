package fleet_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/internal/seeds"
)

// recordLog is the topic of the store with the records about evacuations.
type recordLog struct {
	records []fleet.EvacuationChange
	// trimmed is the offset of the oldest record that is kept, except the newest one of
	// each failure domain.
	trimmed int
}

func (l *recordLog) add(domain string, withdrawn bool) {
	offset := int64(len(l.records))
	l.records = append(l.records, fleet.EvacuationChange{Domain: domain, Offset: offset, Withdrawn: withdrawn})
}

// evacuatedAt returns the evacuated failure domains after the records before an offset.
func (l *recordLog) evacuatedAt(end int64) []string {
	domains := map[string]bool{}
	for _, r := range l.records[:end] {
		domains[r.Domain] = !r.Withdrawn
	}
	list := []string{}
	for domain, evacuated := range domains {
		if evacuated {
			list = append(list, domain)
		}
	}
	slices.Sort(list)
	return list
}

// read returns the records from an offset on, or a snapshot if they are no longer kept or
// from is negative.
func (l *recordLog) read(sent time.Time, from, limit int) fleet.EvacuationRead {
	if from < l.trimmed {
		r := fleet.EvacuationRead{Snapshot: true, Complete: true, Sent: sent, EndOffset: int64(len(l.records))}
		for _, domain := range l.evacuatedAt(r.EndOffset) {
			newest := fleet.EvacuationChange{}
			for _, c := range l.records {
				if c.Domain == domain {
					newest = c
				}
			}
			r.Changes = append(r.Changes, newest)
		}
		return r
	}
	end := min(from+limit, len(l.records))
	return fleet.EvacuationRead{
		Changes: l.records[from:end], EndOffset: int64(end), Sent: sent, Complete: end == from,
	}
}

// evacuationReader is a process that reads the log, unless the store is silent for it.
type evacuationReader struct {
	fleet.Evacuations
	next   int
	silent bool
	// seen is the highest offset of its views so far.
	seen int64
}

func (r *evacuationReader) read(l *recordLog, sent time.Time, limit int) {
	read := l.read(sent, r.next, limit)
	r.ApplyRead(read)
	r.next = int(read.EndOffset)
}

// Guards against a process that forgets an evacuation, or keeps one that was taken back,
// after reads, snapshots, silence of the store, reports of others that arrive late, and
// restarts: at all times its view has to be the one as of its offset, and a process that
// reads the store or gets reports has to arrive at the newest one.
func TestViewsFollowTheRecords(t *testing.T) {
	domains := []string{"a", "b", "c"}
	for _, seed := range seeds.ForTest(t, 300) {
		rng := rand.New(rand.NewPCG(seed, 36))
		log := &recordLog{}
		readers := []*evacuationReader{{next: -1}, {next: -1}, {next: -1}}
		var reports []fleet.EvacuationView
		now := start
		check := func() {
			for _, r := range readers {
				view := r.View()
				require.Equal(t, log.evacuatedAt(view.EndOffset), view.Names(), seeds.ReplayCommand(t, "config/fleet", seed))
				require.GreaterOrEqual(t, view.EndOffset, r.seen, seeds.ReplayCommand(t, "config/fleet", seed))
				r.seen = view.EndOffset
			}
		}
		for range 150 {
			now = now.Add(time.Millisecond)
			r := readers[rng.IntN(len(readers))]
			switch rng.IntN(9) {
			case 0, 1:
				log.add(domains[rng.IntN(len(domains))], rng.IntN(2) == 0)
			case 2:
				log.trimmed = rng.IntN(len(log.records) + 1)
			case 3:
				r.silent = !r.silent
			case 4:
				reports = append(reports, r.View())
			case 5:
				if len(reports) > 0 {
					r.ApplyReport(now, reports[rng.IntN(len(reports))])
				}
			case 6:
				if rng.IntN(5) == 0 {
					*r = evacuationReader{next: -1}
				}
			default:
				if !r.silent {
					r.read(log, now, 1+rng.IntN(3))
					require.GreaterOrEqual(t, r.View().EndOffset, int64(r.next), seeds.ReplayCommand(t, "config/fleet", seed))
				}
			}
			check()
		}
		readers[0].silent = false
		for range len(log.records) + 2 {
			now = now.Add(time.Millisecond)
			readers[0].read(log, now, 3)
		}
		for _, r := range readers[1:] {
			r.ApplyReport(now, readers[0].View())
		}
		check()
		for _, r := range readers {
			require.EqualValues(t, len(log.records), r.View().EndOffset)
		}
	}
}

// Guards against a report with a wrong offset, say of another deployment, that hides all
// later records of the store.
func TestReadsOverrideReports(t *testing.T) {
	var e fleet.Evacuations
	e.ApplyRead(fleet.EvacuationRead{Snapshot: true, Complete: true, EndOffset: 4, Sent: start})
	wrong := fleet.EvacuationView{EndOffset: 1 << 40, Domains: []fleet.Evacuation{{Domain: "x", Offset: 1}}}
	changed := e.ApplyReport(start.Add(time.Second), wrong)
	require.Equal(t, wrong.Domains, changed.Began)
	// A read that was sent before the report may be older than it.
	changed = e.ApplyRead(fleet.EvacuationRead{Complete: true, EndOffset: 4, Sent: start.Add(time.Second / 2)})
	require.True(t, changed.Empty())
	changed = e.ApplyRead(fleet.EvacuationRead{Complete: true, EndOffset: 4, Sent: start.Add(2 * time.Second)})
	require.Equal(t, wrong.Domains, changed.Ended)
	require.Empty(t, e.View().Names())
}

// Guards against an evacuation that a snapshot ends although its newest record can't be
// read, and against a record that is applied twice because a snapshot had it already.
func TestSnapshotOfEvacuations(t *testing.T) {
	var e fleet.Evacuations
	e.ApplyRead(fleet.EvacuationRead{Snapshot: true, EndOffset: 3, Changes: []fleet.EvacuationChange{
		{Domain: "a", Offset: 1}, {Domain: "b", Offset: 5}, {Domain: "c", Offset: 2},
	}})
	changed := e.ApplyRead(fleet.EvacuationRead{EndOffset: 5, Changes: []fleet.EvacuationChange{
		{Domain: "b", Offset: 3}, {Domain: "b", Offset: 4, Withdrawn: true},
	}})
	require.True(t, changed.Empty())
	require.Equal(t, []string{"a", "b", "c"}, e.View().Names())
	changed = e.ApplyRead(fleet.EvacuationRead{Snapshot: true, EndOffset: 9, Changes: []fleet.EvacuationChange{
		{Domain: "a", Offset: 8, Unreadable: true}, {Domain: "b", Offset: 5},
	}})
	require.Equal(t, []fleet.Evacuation{{Domain: "c", Offset: 2}}, changed.Ended)
	require.Equal(t, []string{"a", "b"}, e.View().Names())
}

// Guards against a view of another process, say of another deployment, that counts for good
// because this process doesn't read the store itself, and against one that is dropped by a
// proof that is older.
func TestConfirmedReadsOverrideEarlierViews(t *testing.T) {
	var e fleet.Evacuations
	start := time.Unix(1000, 0)
	e.ApplyRead(fleet.EvacuationRead{
		Changes: []fleet.EvacuationChange{{Domain: "a", Offset: 4}}, Snapshot: true, Complete: true, EndOffset: 5, Sent: start,
	})
	reported := fleet.EvacuationView{EndOffset: 9, Domains: []fleet.Evacuation{{Domain: "b", Offset: 8}}}
	require.False(t, e.ApplyReport(start.Add(time.Second), reported).Empty())
	require.True(t, e.Confirm(start.Add(time.Second)).Empty())
	require.Equal(t, []string{"b"}, e.View().Names())
	changed := e.Confirm(start.Add(time.Second + 1))
	require.Equal(t, []fleet.Evacuation{{Domain: "a", Offset: 4}}, changed.Began)
	require.Equal(t, []fleet.Evacuation{{Domain: "b", Offset: 8}}, changed.Ended)
	require.Equal(t, []string{"a"}, e.View().Names())
}
