package bytebudget_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertmux/filbertmux/serve/bytebudget"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// config is a budget of 100 bytes, in which claims of up to 4 bytes are small.
var config = bytebudget.Config{
	Total: 100, Reserve: 20, Small: 4,
	MinRate: 10, Window: 3 * time.Second, StallTimeout: 500 * time.Millisecond,
	DisplaceAfter: 200 * time.Millisecond, MaxWait: 800 * time.Millisecond, MaxWaiting: 8,
}

type (
	budget = bytebudget.Budget[int]
	claim  = bytebudget.Claim[int]
)

// crowd is a budget with the claims of clients that do what they like. It closes ended
// claims, as their owners have to.
type crowd struct {
	*budget
	now    time.Time
	claims []*claim
	// complete holds the claims whose bodies are complete.
	complete map[*claim]bool
}

func newCrowd(cfg bytebudget.Config) *crowd {
	return &crowd{budget: bytebudget.New[int](cfg), now: start, complete: make(map[*claim]bool)}
}

func (c *crowd) open(organisation string) *claim {
	opened := c.Open(c.now, organisation, len(c.claims))
	c.claims = append(c.claims, opened)
	return opened
}

// grow asks for bytes, with the steps that follow a wait.
func (c *crowd) grow(x *claim, n int64) {
	if x.Grow(c.now, n) == bytebudget.Waiting {
		c.step(0)
	}
}

// step lets time pass and runs two steps, between which the ended claims are closed.
func (c *crowd) step(pass time.Duration) (granted []*claim) {
	c.now = c.now.Add(pass)
	for range 2 {
		out := c.Step(c.now)
		for _, ended := range out.Ended {
			ended.Close()
		}
		granted = append(granted, out.Granted...)
	}
	return granted
}

// heldByAll returns the sum of what the claims hold.
func (c *crowd) heldByAll() (sum int64) {
	for _, x := range c.claims {
		sum += x.Held()
	}
	return sum
}

// heldBySmallComplete returns what complete small claims hold.
func (c *crowd) heldBySmallComplete() (sum int64) {
	for x := range c.complete {
		if x.Held() <= config.Small {
			sum += x.Held()
		}
	}
	return sum
}

// act lets a random client do something. Mostly, clients ask for more.
func (c *crowd) act(t *rapid.T) {
	if len(c.claims) == 0 || rapid.IntRange(0, 3).Draw(t, "open") == 0 {
		c.open(rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "organisation"))
	}
	x := c.claims[rapid.IntRange(0, len(c.claims)-1).Draw(t, "claim")]
	n := rapid.Int64Range(1, 9).Draw(t, "bytes")
	switch rapid.IntRange(0, 11).Draw(t, "action") {
	case 0:
		x.Progress(c.now, n)
	case 1:
		// The owner doesn't keep a small request with a complete body once such
		// requests fill the reserve.
		if x.Held() > config.Small || c.heldBySmallComplete()+x.Held() <= config.Reserve-config.Small {
			c.complete[x] = x.Complete()
		}
	case 2:
		x.TryGrow(n)
	case 3:
		x.Release(n)
	case 4:
		c.step(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
	default:
		c.grow(x, n)
	}
}

// Guards against a process that holds more bytes than its budget, and against bytes that
// are given back twice or never.
func TestHeldBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCrowd(config)
		for range rapid.IntRange(1, 200).Draw(t, "actions") {
			c.act(t)
			if rapid.IntRange(0, 5).Draw(t, "close") == 0 {
				x := c.claims[rapid.IntRange(0, len(c.claims)-1).Draw(t, "closed")]
				x.Close()
				require.Zero(t, x.Held())
				require.Equal(t, bytebudget.Refused, x.Grow(c.now, 1))
				require.False(t, x.TryGrow(1))
			}
			require.LessOrEqual(t, c.Held(), config.Total)
			require.GreaterOrEqual(t, c.Held(), int64(0))
			require.Equal(t, c.heldByAll(), c.Held())
		}
		for range 2 {
			for _, x := range c.claims {
				x.Close()
			}
		}
		require.Zero(t, c.Held())
		require.Equal(t, config.Total, c.Free())
		require.Zero(t, c.WaitingCount())
	})
}

// Guards against clients that keep an ordinary request out: it gets its bytes within two
// steps, whatever bodies the others send, and however they leave them. Of requests that run
// already, only small ones count against it.
func TestSmallRequestGetsIn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCrowd(config)
		for range rapid.IntRange(1, 400).Draw(t, "actions") {
			c.act(t)
		}
		if c.heldBySmallComplete() > config.Reserve-config.Small {
			return
		}
		x := c.open("ordinary")
		if x.Grow(c.now, config.Small) == bytebudget.Waiting {
			c.step(0)
		}
		require.Equal(t, config.Small, x.Held())
		require.Equal(t, bytebudget.None, x.Reason())
	})
}

// Guards against large bodies that use the reserve of small requests, and against a small
// request of an unknown client that a large body keeps out.
func TestReserveOfSmallRequests(t *testing.T) {
	c := newCrowd(config)
	large := c.open("a")
	for large.TryGrow(1) {
	}
	require.Equal(t, config.Total-config.Reserve, large.Held())
	small := c.open("")
	for c.Free() > 0 {
		require.Equal(t, bytebudget.Granted, small.Grow(c.now, config.Small))
		small = c.open("")
	}
	require.Equal(t, bytebudget.Waiting, small.Grow(c.now, config.Small))
	c.step(0)
	require.Equal(t, config.Small, small.Held())
	require.Equal(t, bytebudget.Displaced, large.Reason())
}

// blockBytes is the number of bytes of an upload that arrive at once.
const blockBytes = 5

// upload is a body that arrives block by block.
type upload struct {
	*claim
	left    int64
	waiting bool
}

// arrive claims the next block and reads it, unless the body waits.
func (c *crowd) arrive(u *upload) {
	if u.left == 0 || u.waiting {
		return
	}
	switch u.Grow(c.now, blockBytes) {
	case bytebudget.Granted:
		u.read(c.now)
	case bytebudget.Waiting:
		u.waiting = true
	}
}

func (u *upload) read(now time.Time) {
	u.waiting = false
	u.left -= blockBytes
	u.Progress(now, blockBytes)
	if u.left == 0 {
		u.Complete()
	}
}

// play lets bodies of organisations arrive side by side for 800 ms. The requests whose
// bodies are complete run on.
func (c *crowd) play(size int64, organisations ...string) []*upload {
	var uploads []*upload
	byClaim := make(map[*claim]*upload)
	for _, o := range organisations {
		u := &upload{claim: c.open(o), left: size}
		uploads = append(uploads, u)
		byClaim[u.claim] = u
	}
	for range 40 {
		for _, u := range uploads {
			c.arrive(u)
		}
		for _, x := range c.step(20 * time.Millisecond) {
			byClaim[x].read(c.now)
		}
	}
	return uploads
}

// Guards against bodies that all stay unfinished because each of them holds a part of the
// memory. The oldest ones are completed.
func TestOldestBodiesComplete(t *testing.T) {
	c := newCrowd(config)
	uploads := c.play(40, make([]string, 12)...)
	for i, u := range uploads {
		if i < 2 {
			require.Zero(t, u.left, i)
			continue
		}
		require.Positive(t, u.left, i)
		require.NotEqual(t, bytebudget.None, u.Reason(), i)
	}
}

// Guards against an organisation whose bodies keep those of another one out, and against
// bodies that organisations end in turns.
func TestOrganisationsShareBytes(t *testing.T) {
	c := newCrowd(config)
	uploads := c.play(40, "a", "a", "a", "a", "a", "a", "b")
	require.Zero(t, uploads[0].left)
	require.Zero(t, uploads[6].left)
}

// Guards against clients without a key that end bodies of those with one, and against the
// opposite order.
func TestUnknownClientsGiveWay(t *testing.T) {
	c := newCrowd(config)
	uploads := c.play(40, "", "", "a", "a")
	require.Equal(t, bytebudget.Displaced, uploads[0].Reason())
	require.Equal(t, bytebudget.Displaced, uploads[1].Reason())
	require.Zero(t, uploads[2].left)
	require.Zero(t, uploads[3].left)
}

// Guards against bodies that stall or trickle and keep their bytes, and against the
// end of one that arrives at the least rate or only waits for room.
func TestSlowBodiesEnd(t *testing.T) {
	for name, c := range map[string]struct {
		perSecond int64
		ends      bool
	}{"still": {0, true}, "trickle": {9, true}, "least rate": {10, false}} {
		t.Run(name, func(t *testing.T) {
			crowd := newCrowd(config)
			x := crowd.open("a")
			crowd.grow(x, 70)
			for range 7 {
				x.Progress(crowd.now, c.perSecond)
				crowd.step(time.Second)
			}
			require.Equal(t, c.ends, x.Reason() == bytebudget.Slow)
			require.Equal(t, c.ends, crowd.Held() == 0)
		})
	}
	patient := config
	patient.MaxWait = time.Hour
	crowd := newCrowd(patient)
	crowd.open("a").TryGrow(80)
	crowd.claims[0].Complete()
	x := crowd.open("b")
	require.Equal(t, bytebudget.Waiting, x.Grow(crowd.now, 5))
	crowd.step(10 * time.Second)
	crowd.claims[0].Close()
	require.Len(t, crowd.step(0), 1)
	crowd.step(2 * time.Second)
	require.Equal(t, bytebudget.None, x.Reason())
	crowd.step(2 * time.Second)
	require.Equal(t, bytebudget.Slow, x.Reason())
}

// Guards against a client that waits for longer than it stays, and against more waiting
// bodies than the bound: the kernel holds bytes of each.
func TestWaitsAreBounded(t *testing.T) {
	c := newCrowd(config)
	full := c.open("a")
	require.True(t, full.TryGrow(80))
	require.True(t, full.Complete())
	for range config.MaxWaiting {
		require.Equal(t, bytebudget.Waiting, c.open("b").Grow(c.now, 5))
	}
	last := c.open("b")
	require.Equal(t, bytebudget.Waiting, last.Grow(c.now, 5))
	c.step(config.MaxWait - time.Millisecond)
	require.Equal(t, bytebudget.NoRoom, last.Reason())
	require.Equal(t, config.MaxWaiting, c.WaitingCount())
	c.step(time.Millisecond)
	require.Zero(t, c.WaitingCount())
	require.Equal(t, bytebudget.NoRoom, c.claims[1].Reason())
}

// BenchmarkRequest is what an ordinary request adds to the budget while others are open.
func BenchmarkRequest(b *testing.B) {
	for _, others := range []int{0, 1000} {
		b.Run(fmt.Sprintf("others=%d", others), func(b *testing.B) {
			cfg := config
			cfg.Total, cfg.Reserve, cfg.Small = 256<<20, 32<<20, 64<<10
			budget := bytebudget.New[int](cfg)
			for i := range others {
				budget.Open(start, fmt.Sprint("o", i%10), i).Grow(start, 50<<10)
			}
			b.ReportAllocs()
			for b.Loop() {
				c := budget.Open(start, "organisation", 0)
				c.Grow(start, 40<<10)
				c.Grow(start, 1000)
				c.Progress(start, 1000)
				c.Complete()
				c.Close()
			}
		})
	}
}

// BenchmarkStep is one step while many bodies arrive and a part of them waits.
func BenchmarkStep(b *testing.B) {
	cfg := config
	cfg.Total, cfg.Reserve, cfg.Small, cfg.MaxWaiting = 32<<20, 4<<20, 64<<10, 64
	cfg.MaxWait, cfg.Window = time.Hour, time.Hour
	budget := bytebudget.New[int](cfg)
	for i := range 1000 {
		budget.Open(start, fmt.Sprint("o", i%10), i).Grow(start, 50<<10)
	}
	b.ReportAllocs()
	for b.Loop() {
		budget.Step(start)
	}
}
