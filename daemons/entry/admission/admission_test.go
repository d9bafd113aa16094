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
	csvTable, err := table.LoadDir(examples.Demo())
	require.NoError(t, err)
	for i := range csvTable.Rows {
		edit(&csvTable.Rows[i].Row)
	}
	state := table.NewState()
	for _, office := range csvTable.Offices() {
		data, err := table.Diff(state.View(), csvTable, office, "first-"+office).Encode()
		require.NoError(t, err)
		require.Equal(t, table.OutcomeAccepted, state.Apply(infra.Record{Offset: state.Offset() + 1, Data: data}).Outcome)
	}
	return state.View()
}

// fixture is a Controller with one slot and an injected clock.
type fixture struct {
	t          *testing.T
	view       *table.View
	now        time.Time
	slots      int
	controller *Controller
	order      []string // organisations in the order in which they ran
	refused    map[string]error
	refusal    error // of all waiting requests
}

func newFixture(t *testing.T, queueSize int) *fixture {
	f := &fixture{t: t, view: viewWith(t, func(*table.Row) {}), now: time.Unix(1000, 0), slots: 1, refused: map[string]error{}}
	f.controller = New(Config{
		QueueSize: queueSize, ConcurrencyLimit: func(string) int { return f.slots },
		Refusal: func(string) error { return f.refusal },
		View:    func() *table.View { return f.view }, Now: func() time.Time { return f.now },
	})
	return f
}

// occupySlot acquires the only slot and returns the function that releases it.
func (f *fixture) occupySlot() func() {
	release, err := f.controller.Acquire(context.Background(), Request{Service: "text-desk", Class: "desk", Organisation: "holder", Cost: 1})
	require.NoError(f.t, err)
	return release
}

// start sends a request that ends as soon as it runs.
func (f *fixture) start(ctx context.Context, class, organisation string, deadline time.Time) {
	go func() {
		release, err := f.controller.Acquire(ctx, Request{
			Service: "text-desk", Class: class, Organisation: organisation, Cost: 100, Deadline: deadline,
		})
		if err != nil {
			f.refused[organisation] = err
			return
		}
		f.order = append(f.order, organisation)
		release()
	}()
	synctest.Wait()
}

// Guards against a lower class that runs before a higher one, and against a table
// change that has no effect on waiting requests.
func TestOrderFollowsTheTableInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		f := newFixture(t, 10)
		for _, changed := range []bool{false, true} {
			f.order = nil
			release := f.occupySlot()
			f.start(ctx, "admin", "reports", time.Time{})
			f.start(ctx, "desk", "mureseni-desk", time.Time{})
			want := []string{"mureseni-desk", "reports"}
			if changed {
				f.view = viewWith(t, func(r *table.Row) {
					if r.Class != nil && r.Class.Name == "desk" {
						r.Class.Priority = 30
					}
				})
				want = []string{"reports", "mureseni-desk"}
			}
			release()
			synctest.Wait()
			require.Equal(t, want, f.order)
		}
	})
}

// Guards against ignored weights of the table: with weights 4 and 1, four of five
// requests must belong to the organisation with weight 4.
func TestSharesFollowTheWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 100)
		release := f.occupySlot()
		for range 20 {
			f.start(context.Background(), "desk", "reports", time.Time{})
			f.start(context.Background(), "desk", "mureseni-desk", time.Time{})
		}
		release()
		synctest.Wait()
		heavy := 0
		for _, organisation := range f.order[:20] {
			if organisation == "mureseni-desk" {
				heavy++
			}
		}
		require.InDelta(t, 16, heavy, 1)
	})
}

// Guards against an unbounded queue, a request that is refused although a request
// of a lower class waits, and a refusal that is not reported as not_run.
func TestFullQueueRefusesTheLowestClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		f := newFixture(t, 1)
		release := f.occupySlot()
		f.start(ctx, "admin", "reports", time.Time{})
		f.start(ctx, "desk", "mureseni-desk", time.Time{})
		f.start(ctx, "accounts", "accounts-medias", time.Time{})
		for _, organisation := range []string{"reports", "accounts-medias"} {
			require.True(t, errkind.Is(f.refused[organisation], errkind.QueueFull), "%v", f.refused[organisation])
			require.Equal(t, errkind.NotRun, errkind.Of(f.refused[organisation]).Execution)
		}
		release()
		synctest.Wait()
		require.Equal(t, []string{"mureseni-desk"}, f.order)
	})
}

// Guards against a request that still runs or stays in the queue after its caller
// disconnected or its deadline passed.
func TestCanceledRequestsDoNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFixture(t, 10)
		release := f.occupySlot()
		f.start(ctx, "desk", "mureseni-desk", time.Time{})
		f.start(context.Background(), "desk", "dealer-kandy", f.now.Add(time.Second))
		cancel()
		synctest.Wait()
		require.Equal(t, 1, f.controller.QueueLength())
		f.now = f.now.Add(2 * time.Second)
		release()
		synctest.Wait()
		require.Empty(t, f.order)
		require.Equal(t, errkind.NotRun, errkind.Of(f.refused["mureseni-desk"]).Execution)
		require.True(t, errkind.Is(f.refused["dealer-kandy"], errkind.DeadlineUnreachable))
		f.occupySlot()()
	})
}

// Guards against a request that is queued although the measured rate shows that it
// can't meet its deadline.
func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 100)
		release := f.occupySlot()
		for range 20 {
			f.start(context.Background(), "desk", "dealer-kandy", time.Time{})
		}
		f.controller.services["text-desk"].queue.SetRate(100) // 2,000 tokens wait: 20 s
		f.start(context.Background(), "desk", "dealer-kandy", f.now.Add(10*time.Second))
		require.True(t, errkind.Is(f.refused["dealer-kandy"], errkind.DeadlineUnreachable))
		release()
		synctest.Wait()
		require.Len(t, f.order, 20)
	})
}

// Guards against requests of the highest class that wait because long requests of
// lower classes occupy all slots.
func TestSlotsAreReservedForTheHighestClass(t *testing.T) {
	f := newFixture(t, 100)
	f.slots = 20
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // a request that has to wait fails at once
	acquire := func(class string) error {
		_, err := f.controller.Acquire(ctx, Request{Service: "text-desk", Class: class, Organisation: "reports", Cost: 1})
		return err
	}
	for range 18 {
		require.NoError(t, acquire("admin"))
	}
	for range 2 {
		require.NoError(t, acquire("desk"))
	}
	require.Error(t, acquire("desk"), "all slots are occupied")
	f.slots = 21
	require.Error(t, acquire("admin"), "the free slot is reserved for the highest class")
}

// Guards against a rate that includes idle time: it would be too low, and requests
// that can meet their deadline would be refused.
func TestRateIsMeasuredUnderLoad(t *testing.T) {
	var r rateMeter
	now := time.Unix(1000, 0)
	require.Zero(t, r.recordFinished(now, 500, false))
	for range 10 {
		now = now.Add(time.Second)
		r.recordFinished(now, 100, true)
	}
	require.InDelta(t, 100, r.smoothed, 1)
	now = now.Add(time.Hour)
	r.recordFinished(now, 100, false)
	now = now.Add(time.Hour)
	r.recordFinished(now, 100, true)
	require.InDelta(t, 100, r.smoothed, 1)
}

// Guards against requests that stay in the queue although slots became free: without
// Refresh only the end of a request dispatches the queue.
func TestRefreshUsesNewSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 10)
		release := f.occupySlot()
		f.start(context.Background(), "desk", "mureseni-desk", time.Time{})
		require.Empty(t, f.order)
		f.slots = 2
		f.controller.Refresh()
		synctest.Wait()
		require.Equal(t, []string{"mureseni-desk"}, f.order)
		release()
	})
}

// Guards against requests that wait for the end of requests in flight although no
// server takes new ones, and against a refusal that outlasts its cause.
func TestRefusalEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 10)
		release := f.occupySlot()
		f.start(context.Background(), "desk", "mureseni-desk", time.Time{})
		f.refusal = errkind.New(errkind.NoBackendServer, "evacuated")
		f.controller.Refresh()
		synctest.Wait()
		require.Equal(t, f.refusal, f.refused["mureseni-desk"], "the request waited when the refusal began")
		f.start(context.Background(), "admin", "reports", time.Time{})
		require.Equal(t, f.refusal, f.refused["reports"])
		require.Zero(t, f.controller.QueueLength())
		f.refusal = nil
		f.start(context.Background(), "admin", "dealer-kandy", time.Time{})
		require.Empty(t, f.order)
		release()
		synctest.Wait()
		require.Equal(t, []string{"dealer-kandy"}, f.order)
		f.occupySlot()() // the refused requests hold no slot
	})
}
