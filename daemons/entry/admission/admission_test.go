package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/examples"
)

// viewWith returns the demo table with edited rows.
func viewWith(t *testing.T, edit func(*table.Row)) *table.View {
	t.Helper()
	sheet, err := table.LoadDir(examples.Demo())
	require.NoError(t, err)
	for i := range sheet.Rows {
		edit(&sheet.Rows[i].Row)
	}
	f := table.NewState()
	for _, office := range sheet.Offices() {
		data, err := table.Diff(f.View(), sheet, office, "first-"+office).Encode()
		require.NoError(t, err)
		require.Equal(t, table.OutcomeAccepted, f.Apply(infra.Record{Offset: f.Offset() + 1, Data: data}).Outcome)
	}
	return f.View()
}

// bench is an admission with one place, under an injected clock.
type bench struct {
	t       *testing.T
	view    *table.View
	now     time.Time
	places  int
	a       *Controller
	order   []string // organisations in the order in which they ran
	refused map[string]error
}

func newBench(t *testing.T, queueSize int) *bench {
	b := &bench{t: t, view: viewWith(t, func(*table.Row) {}), now: time.Unix(1000, 0), places: 1, refused: map[string]error{}}
	b.a = New(Config{
		QueueSize: queueSize, ConcurrencyLimit: func(string) int { return b.places },
		View: func() *table.View { return b.view }, Now: func() time.Time { return b.now },
	})
	return b
}

// hold takes the only place and returns its release.
func (b *bench) hold() func() {
	release, err := b.a.Acquire(context.Background(), Request{Service: "text-desk", Class: "desk", Organisation: "holder", Cost: 1})
	require.NoError(b.t, err)
	return release
}

// enter starts a request that ends at once when it runs.
func (b *bench) enter(ctx context.Context, class, organisation string, deadline time.Time) {
	go func() {
		release, err := b.a.Acquire(ctx, Request{
			Service: "text-desk", Class: class, Organisation: organisation, Cost: 100, Deadline: deadline,
		})
		if err != nil {
			b.refused[organisation] = err
			return
		}
		b.order = append(b.order, organisation)
		release()
	}()
	synctest.Wait()
}

// Guards against a less urgent class that runs first, against weights that have
// no effect, and against a changed table that has no effect on waiting requests.
func TestOrderFollowsTheTableInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		b := newBench(t, 10)
		for _, changed := range []bool{false, true} {
			b.order = nil
			release := b.hold()
			b.enter(ctx, "admin", "reports", time.Time{})
			b.enter(ctx, "desk", "mureseni-desk", time.Time{})
			want := []string{"mureseni-desk", "reports"}
			if changed {
				b.view = viewWith(t, func(r *table.Row) {
					if r.Class != nil && r.Class.Name == "desk" {
						r.Class.Priority = 30
					}
				})
				want = []string{"reports", "mureseni-desk"}
			}
			release()
			synctest.Wait()
			require.Equal(t, want, b.order)
		}
	})
}

// Guards against weights of the table that are not used: with weight 4 against
// 1, four of five requests belong to the heavier organisation.
func TestSharesFollowTheWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 100)
		release := b.hold()
		for range 20 {
			b.enter(context.Background(), "desk", "reports", time.Time{})
			b.enter(context.Background(), "desk", "mureseni-desk", time.Time{})
		}
		release()
		synctest.Wait()
		heavy := 0
		for _, organisation := range b.order[:20] {
			if organisation == "mureseni-desk" {
				heavy++
			}
		}
		require.InDelta(t, 16, heavy, 1)
	})
}

// Guards against a queue without bound, against urgent work that is refused for
// work of a lower class, and against a refusal that isn't a proof.
func TestFullQueueRefusesTheLeastUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		b := newBench(t, 1)
		release := b.hold()
		b.enter(ctx, "admin", "reports", time.Time{})
		b.enter(ctx, "desk", "mureseni-desk", time.Time{})
		b.enter(ctx, "accounts", "accounts-medias", time.Time{})
		for _, organisation := range []string{"reports", "accounts-medias"} {
			require.True(t, errkind.Is(b.refused[organisation], errkind.QueueFull), "%v", b.refused[organisation])
			require.Equal(t, errkind.NotRun, errkind.Of(b.refused[organisation]).Execution)
		}
		release()
		synctest.Wait()
		require.Equal(t, []string{"mureseni-desk"}, b.order)
	})
}

// Guards against a caller who left or whose deadline passed and whose request
// still runs or keeps its place in the queue.
func TestCallersWhoLeaveDoNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		b := newBench(t, 10)
		release := b.hold()
		b.enter(ctx, "desk", "mureseni-desk", time.Time{})
		b.enter(context.Background(), "desk", "dealer-kandy", b.now.Add(time.Second))
		cancel()
		synctest.Wait()
		require.Equal(t, 1, b.a.QueueLength())
		b.now = b.now.Add(2 * time.Second)
		release()
		synctest.Wait()
		require.Empty(t, b.order)
		require.Equal(t, errkind.NotRun, errkind.Of(b.refused["mureseni-desk"]).Execution)
		require.True(t, errkind.Is(b.refused["dealer-kandy"], errkind.DeadlineUnreachable))
		b.hold()()
	})
}

// Guards against a request that waits in vain although the measured rate shows
// that it can't meet its deadline.
func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 100)
		release := b.hold()
		for range 20 {
			b.enter(context.Background(), "desk", "dealer-kandy", time.Time{})
		}
		b.a.services["text-desk"].queue.SetRate(100) // 2,000 tokens wait: 20 s
		b.enter(context.Background(), "desk", "dealer-kandy", b.now.Add(10*time.Second))
		require.True(t, errkind.Is(b.refused["dealer-kandy"], errkind.DeadlineUnreachable))
		release()
		synctest.Wait()
		require.Len(t, b.order, 20)
	})
}

// Guards against urgent work that waits for a place which long-running work of
// lower classes holds.
func TestPlacesAreKeptForTheMostUrgentClass(t *testing.T) {
	b := newBench(t, 100)
	b.places = 20
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // a request that would have to wait fails
	enter := func(class string) error {
		_, err := b.a.Acquire(ctx, Request{Service: "text-desk", Class: class, Organisation: "reports", Cost: 1})
		return err
	}
	for range 18 {
		require.NoError(t, enter("admin"))
	}
	for range 2 {
		require.NoError(t, enter("desk"))
	}
	require.Error(t, enter("desk"), "all places are taken")
	b.places = 21
	require.Error(t, enter("admin"), "the free place is kept")
}

// Guards against a rate that counts idle time, which would refuse work that
// can meet its deadline.
func TestRateIsMeasuredUnderLoad(t *testing.T) {
	var r rate
	now := time.Unix(1000, 0)
	require.Zero(t, r.finished(now, 500, false))
	for range 10 {
		now = now.Add(time.Second)
		r.finished(now, 100, true)
	}
	require.InDelta(t, 100, r.smoothed, 1)
	now = now.Add(time.Hour)
	r.finished(now, 100, false)
	now = now.Add(time.Hour)
	r.finished(now, 100, true)
	require.InDelta(t, 100, r.smoothed, 1)
}

// Guards against requests that stay in the queue although servers came back
// and no request ends that would look at the queue.
func TestRefreshUsesNewServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 10)
		release := b.hold()
		b.enter(context.Background(), "desk", "mureseni-desk", time.Time{})
		require.Empty(t, b.order)
		b.places = 2
		b.a.Refresh()
		synctest.Wait()
		require.Equal(t, []string{"mureseni-desk"}, b.order)
		release()
	})
}
