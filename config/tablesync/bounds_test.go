package tablesync

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
)

// Guards against a table that is lost if all readers stop during a log outage of
// half the retention time: a snapshot must be published well before the records
// that it replaces expire.
func TestSnapshotsCoverLossOfAllReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		var stops []context.CancelFunc
		for range 10 {
			_, stop := f.start(f.log)
			stops = append(stops, stop)
		}
		f.publish("c1")
		last := f.publish("c2")
		time.Sleep(retention * 6 / 10)
		f.log.setFaults(true, 0)
		for _, stop := range stops {
			stop()
		}
		time.Sleep(retention / 2)
		f.log.setFaults(false, 0)
		restarted, stop := f.start(f.log)
		defer stop()
		ctx, cancel := context.WithTimeout(f.ctx, 7*time.Second)
		defer cancel()
		require.NoError(t, restarted.Wait(ctx, last))
		_, ok := restarted.View().Class("c1")
		require.True(t, ok)
	})
}

// silentLog is a log that does not respond while silent is set.
type silentLog struct {
	*testLog
	silent      atomic.Bool
	failAppends bool
	reads       atomic.Int64
}

func (l *silentLog) Read(ctx context.Context, stream string, after infra.Offset, limit int, wait time.Duration) (infra.Batch, error) {
	l.reads.Add(1)
	if l.silent.Load() {
		<-ctx.Done()
		return infra.Batch{}, errkind.Wrap(errkind.PlatformUnavailable, ctx.Err(), "log")
	}
	batch, err := l.testLog.Read(ctx, stream, after, limit, wait)
	if l.silent.Load() {
		<-ctx.Done()
		return infra.Batch{}, errkind.Wrap(errkind.PlatformUnavailable, ctx.Err(), "log")
	}
	return batch, err
}

func (l *silentLog) Append(ctx context.Context, stream string, data []byte) (infra.Offset, error) {
	if l.silent.Load() {
		<-ctx.Done()
		return 0, errkind.Wrap(errkind.PlatformUnavailable, ctx.Err(), "log")
	}
	if l.failAppends {
		return 0, errkind.New(errkind.PlatformUnavailable, "log")
	}
	return l.testLog.Append(ctx, stream, data)
}

// Guards against a reader that waits for an unresponsive log, with a timeout that
// grows to 35 s, while its peers have the change. Both readers also have a due
// snapshot that can't be published.
func TestSilentLogAsksPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		ahead, stopAhead := f.start(&silentLog{testLog: f.log, failAppends: true})
		defer stopAhead()
		f.setReaders(ahead)
		f.publish("c0")
		log := &silentLog{testLog: f.log}
		log.silent.Store(true)
		s, stop := f.start(log)
		defer stop()
		time.Sleep(retention * 6 / 10)
		for i := 1; i < 20; i++ {
			start := time.Now()
			require.NoError(t, s.Wait(f.ctx, f.publish(fmt.Sprintf("c%d", i))))
			require.Less(t, time.Since(start), 7*time.Second)
			time.Sleep(time.Duration(i) * 1300 * time.Millisecond)
		}
	})
}

// Guards against a reader that finishes its long poll before it requests the records
// from a peer that is ahead.
func TestLearnInterruptsPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		ahead, stopAhead := f.start(f.log)
		defer stopAhead()
		f.setReaders(ahead)
		log := &silentLog{testLog: f.log}
		s, stop := f.start(log)
		defer stop()
		require.NoError(t, s.Wait(f.ctx, f.publish("c1")))
		time.Sleep(2 * time.Second)
		log.silent.Store(true)
		last := f.publish("c2")
		start := time.Now()
		s.Learn(last)
		require.NoError(t, s.Wait(f.ctx, last))
		require.LessOrEqual(t, time.Since(start), time.Second)
	})
}

// Guards against a reader that reads the log once per change when there are many
// changes, or polls an idle log every second: 930 readers share the log.
func TestReadsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		log := &silentLog{testLog: f.log}
		s, stop := f.start(log)
		defer stop()
		last := f.publish("c0")
		require.NoError(t, s.Wait(f.ctx, last))
		before := log.reads.Load()
		time.Sleep(time.Minute)
		require.LessOrEqual(t, log.reads.Load()-before, int64(21), "idle")
		before = log.reads.Load()
		for i := range 600 {
			last = f.publish(fmt.Sprintf("c%d", i+1))
			time.Sleep(100 * time.Millisecond)
		}
		require.LessOrEqual(t, log.reads.Load()-before, int64(120), "ten changes per second for a minute")
		require.NoError(t, s.Wait(f.ctx, last))
	})
}

// Guards against an operator's command that fails because the log is slow.
func TestReadOnceFromSlowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		last := f.publish("c1")
		f.log.setFaults(false, 3*time.Second)
		state, err := ReadOnce(f.ctx, f.log)
		require.NoError(t, err)
		require.Equal(t, last, state.Offset())
	})
}
