package tablesync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/table"
	v1 "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// The tests run in synctest bubbles: time is virtual and does not depend on
// the load of the machine.

const retention = 10 * time.Minute

type fleet struct {
	t    *testing.T
	ctx  context.Context
	log  *testLog
	next int

	mu      sync.Mutex
	readers []*Syncer
}

// setReaders replaces the peers of all readers.
func (f *fleet) setReaders(readers ...*Syncer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readers = slices.Clone(readers)
}

func (f *fleet) peers() []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var peers []Peer
	for _, r := range f.readers {
		peers = append(peers, r)
	}
	return peers
}

func newFleet(t *testing.T) *fleet {
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{t: t, ctx: ctx, log: newTestLog(retention)}
	t.Cleanup(cancel)
	return f
}

// start runs a reader whose peers are the readers that are in the fleet.
func (f *fleet) start(log infra.Log) (*Syncer, context.CancelFunc) {
	f.next++
	s, err := New(log, f.peers, SystemClock{}, rand.New(rand.NewPCG(uint64(f.next), 7)), Options{Retention: retention, Logger: zerolog.Nop()})
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(f.ctx)
	go s.Run(ctx)
	return s, cancel
}

func (f *fleet) publish(id string) infra.Offset {
	f.t.Helper()
	offset, err := f.log.Append(f.ctx, DefaultStream, classSet(f.t, id))
	require.NoError(f.t, err)
	return offset
}

// classSet returns a set that creates a class named id; sets after the first
// hundred are refused, because the priorities are used up.
func classSet(t *testing.T, id string) []byte {
	t.Helper()
	var number int
	_, err := fmt.Sscanf(id, "c%d", &number)
	require.NoError(t, err)
	row := table.Row{Office: "a", Class: &table.Class{Name: id, Priority: number % 100}}
	key, _ := row.Key()
	data, err := table.ChangeSet{ID: id, Office: "a", Changes: []table.Change{{Key: key, Row: &row}}}.Encode()
	require.NoError(t, err)
	return data
}

// Guards against a change that is not in force within 7 s, and against readers
// that disagree.
func TestChangeIsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a, stopA := f.start(f.log)
		b, stopB := f.start(f.log)
		defer stopA()
		defer stopB()
		began := time.Now()
		offset := f.publish("c1")
		for _, s := range []*Syncer{a, b} {
			require.NoError(t, s.Wait(f.ctx, offset))
			_, ok := s.View().Class("c1")
			require.True(t, ok)
		}
		require.Less(t, time.Since(began), 7*time.Second)
		require.True(t, a.Loaded())
		_, digestA := a.Digest()
		_, digestB := b.Digest()
		require.Equal(t, digestA, digestB)
		expired, cancel := context.WithTimeout(f.ctx, time.Second)
		defer cancel()
		require.Error(t, a.Wait(expired, offset+1))
	})
}

// Guards against an instance that can't start during a log outage, or that
// steps back when the log returns.
func TestStartFromPeerWhileLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		old, stopOld := f.start(f.log)
		defer stopOld()
		f.publish("c1")
		last := f.publish("c2")
		require.NoError(t, old.Wait(f.ctx, last))
		f.log.set(true, 0)
		f.setReaders(old)
		fresh, stopFresh := f.start(f.log)
		defer stopFresh()
		require.NoError(t, fresh.Wait(f.ctx, last))
		require.True(t, fresh.Loaded())
		f.log.set(false, 0)
		last = f.publish("c3")
		require.NoError(t, fresh.Wait(f.ctx, last))
		require.Positive(t, fresh.Stats().PeerCatchUps)
	})
}

// Guards against a reader that never gets an answer from a log that takes
// longer than the first time-out, for a long time.
func TestSlowLogIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		last := f.publish("c1")
		f.log.set(false, 10*time.Second)
		s, stop := f.start(f.log)
		defer stop()
		ctx, cancel := context.WithTimeout(f.ctx, 3*time.Minute)
		defer cancel()
		require.NoError(t, s.Wait(ctx, last))
	})
}

// Guards against a table that expires with its log records, when it is busy
// and when nobody publishes.
func TestSnapshotsOutliveRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		var stops []context.CancelFunc
		var readers []*Syncer
		for range 20 {
			s, stop := f.start(f.log)
			readers = append(readers, s)
			f.setReaders(readers...)
			stops = append(stops, stop)
		}
		const hours = 6
		var last infra.Offset
		for i := range 30 {
			last = f.publish(fmt.Sprintf("c%d", i))
			time.Sleep(20 * time.Second)
		}
		for range 20 * (hours - 1) {
			time.Sleep(retention / 20)
			require.True(t, f.log.startable(), "the log has expired without a usable snapshot")
		}
		published := uint64(0)
		for _, s := range readers {
			published += s.Stats().SnapshotsPublished
			require.Zero(t, s.Stats().Table.SnapshotMismatches)
		}
		t.Logf("20 readers published %d snapshots in %d retention periods", published, hours)
		// A chain lasts at least a third of the retention; more than twice that
		// number means that the readers do not see each other's snapshots.
		require.LessOrEqual(t, published, uint64(2*3*hours))
		f.setReaders()
		fresh, stop := f.start(f.log)
		require.NoError(t, fresh.Wait(f.ctx, last))
		require.Positive(t, fresh.Stats().SnapshotRestores)
		require.NoError(t, fresh.Wait(f.ctx, readers[0].Offset()))
		_, want := readers[0].Digest()
		_, got := fresh.Digest()
		require.Equal(t, want, got)
		stop()
		for _, stop := range stops {
			stop()
		}
	})
}

// Guards against a lower offset or a changed table when the log loses records,
// and when a log holds neither the next record nor a snapshot.
func TestNeverStepsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		s, stop := f.start(f.log)
		defer stop()
		f.publish("c1")
		last := f.publish("c2")
		require.NoError(t, s.Wait(f.ctx, last))
		f.log.mu.Lock()
		f.log.records = f.log.records[:1]
		f.log.mu.Unlock()
		f.publish("c9") // takes offset 2 again
		time.Sleep(time.Minute)
		require.Equal(t, last, s.Offset())
		_, ok := s.View().Class("c2")
		require.True(t, ok)

		f.log.mu.Lock()
		f.log.records, f.log.oldest = nil, 50
		f.log.mu.Unlock()
		time.Sleep(time.Minute)
		require.Equal(t, last, s.Offset())
		require.NoError(t, s.Wait(f.ctx, last))
	})
}

// Guards against a peer that is asked only when the log fails: a message with
// a higher table offset makes a reader with a lagging log ask a peer.
func TestLearnAsksPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		ahead, stopAhead := f.start(f.log)
		defer stopAhead()
		last := f.publish("c1")
		require.NoError(t, ahead.Wait(f.ctx, last))
		f.setReaders(ahead)
		lagging, stopLagging := f.start(newTestLog(retention))
		defer stopLagging()
		time.Sleep(10 * time.Second)
		require.Zero(t, lagging.Offset())
		lagging.Learn(last)
		began := time.Now()
		require.NoError(t, lagging.Wait(f.ctx, last))
		require.Less(t, time.Since(began), 7*time.Second)
	})
}

// Guards against an answer to a peer that grows without bound, or that can't be
// continued after its snapshot.
func TestTableSinceIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		s, stop := f.start(f.log)
		defer stop()
		var last infra.Offset
		for i := range maxRecentRecords + 100 {
			last = f.publish(fmt.Sprintf("c%d", i))
		}
		require.NoError(t, s.Wait(f.ctx, last))
		ask := func(offset infra.Offset) *v1.TableSinceResponse {
			answer, err := s.TableSince(f.ctx, connect.NewRequest(&v1.TableSinceRequest{Offset: uint64(offset)}))
			require.NoError(t, err)
			require.LessOrEqual(t, len(answer.Msg.GetRecords()), maxAnswerRecords)
			return answer.Msg
		}
		require.NotEmpty(t, ask(0).GetSnapshot())
		require.Empty(t, ask(last-5).GetSnapshot())
		require.Len(t, ask(last-5).GetRecords(), 5)
		require.Empty(t, ask(last+5).GetRecords())
		peer, err := New(f.log, nil, SystemClock{}, rand.New(rand.NewPCG(1, 1)), Options{Retention: retention})
		require.NoError(t, err)
		require.NoError(t, peer.takeAnswer(ask(0)))
		require.Equal(t, last, peer.Offset())
		require.NoError(t, peer.takeAnswer(&v1.TableSinceResponse{}), "an answer from behind has no effect")
		require.Equal(t, last, peer.Offset())
		stale, err := table.NewState().Snapshot()
		require.NoError(t, err)
		lower, err := table.Restore(stale)
		require.NoError(t, err)
		require.False(t, peer.adopt(lower), "a snapshot from behind is not adopted")
		require.Equal(t, last, peer.Offset())
	})
}
