package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/internal/seeds"
	"github.com/filbertmux/filbertmux/serve/quarantine"
)

// fleet is a model of servers whose registers hear of reports after a delay.
type fleet struct {
	rng *rand.Rand
	now time.Time
	off bool // rule off: requests run without regard to suspects
	// entry knows the reports in the replies to its requests at once and sends
	// them along with the next attempt.
	entry     *quarantine.Registry
	registers []*quarantine.Registry
	servers   []*quarantine.ServerTracker
	flying    []*flight
	pending   []news
	crashes   int
	byPoison  map[string]int
	refused   map[string]int
	done      map[string]bool
	id        uint64
}

type flight struct {
	id     uint64
	server int
	body   string
	poison bool
	ends   time.Time
}

type news struct {
	at     time.Time
	to     int
	report quarantine.Report
}

const servers = 20

func newFleet(seed uint64, off bool) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 3)), now: time.UnixMilli(1_800_000_000_000), off: off,
		entry:    quarantine.NewRegistry(quarantine.DefaultSettings()),
		byPoison: make(map[string]int), refused: make(map[string]int), done: make(map[string]bool),
	}
	for range servers {
		r := quarantine.NewRegistry(quarantine.DefaultSettings())
		f.registers = append(f.registers, r)
		f.servers = append(f.servers, quarantine.NewServerTracker(r))
	}
	return f
}

// spread sends reports to all registers, some by two ways.
func (f *fleet) spread(reports []quarantine.Report) {
	for _, r := range reports {
		f.entry.Apply(f.now, r)
		for to := range servers {
			for range 1 + f.rng.IntN(2) {
				delay := time.Duration(f.rng.Int64N(int64(2 * time.Second)))
				f.pending = append(f.pending, news{at: f.now.Add(delay), to: to, report: r})
			}
		}
	}
}

func fingerprint(body string) quarantine.Fingerprint {
	return quarantine.Fingerprint{Service: "text-desk", Organisation: "org", BodyHash: body}
}

// try sends a request to a random server. It returns false if the request has
// to wait.
func (f *fleet) try(body string, poison bool) bool {
	f.id++
	server := f.rng.IntN(servers)
	key := fingerprint(body)
	if f.off {
		key = fingerprint(strconv.FormatUint(f.id, 10))
	}
	for _, r := range f.entry.Reports(key) {
		f.registers[server].Apply(f.now, r)
	}
	switch f.servers[server].Admit(f.now, f.id, key) {
	case quarantine.Refuse:
		f.refused[body]++
		return true
	case quarantine.Wait:
		f.servers[server].CancelReservation(f.id)
		return false
	}
	ends := f.now.Add(time.Duration(f.rng.Int64N(int64(400 * time.Millisecond))))
	f.flying = append(f.flying, &flight{id: f.id, server: server, body: body, poison: poison, ends: ends})
	return true
}

func (f *fleet) step() {
	f.now = f.now.Add(10 * time.Millisecond)
	pending := f.pending
	f.pending = nil
	for _, n := range pending {
		if n.at.After(f.now) {
			f.pending = append(f.pending, n)
		} else {
			f.registers[n.to].Apply(f.now, n.report)
		}
	}
	crashed := make(map[int]bool)
	flying := f.flying
	f.flying = nil
	for _, r := range flying {
		switch {
		case r.ends.After(f.now) || crashed[r.server]:
			f.flying = append(f.flying, r)
		case r.poison:
			crashed[r.server] = true
			f.crashes++
			f.byPoison[r.body]++
			f.spread(f.servers[r.server].RecordCrash(f.now, fmt.Sprintf("crash-%d", f.crashes)))
		default:
			f.done[r.body] = true
			if report, ok := f.servers[r.server].End(f.now, r.id, true, fmt.Sprintf("clear-%d", r.id)); ok {
				f.spread([]quarantine.Report{report})
			}
		}
	}
	flying = f.flying
	f.flying = nil
	for _, r := range flying {
		if !crashed[r.server] {
			f.flying = append(f.flying, r)
		}
	}
}

func (f *fleet) busy(body string) bool {
	for _, r := range f.flying {
		if r.body == body {
			return true
		}
	}
	return false
}

// run sends each of three poison bodies 100 times, one send after the other,
// while many innocent requests are in flight and sent again until answered.
func (f *fleet) run() (innocents int) {
	sent := make(map[string]int)
	for step := range 6000 {
		f.step()
		for p := range 3 {
			body := fmt.Sprintf("poison-%d", p)
			if !f.busy(body) && sent[body] < 100 && f.try(body, true) {
				sent[body]++
			}
		}
		if step < 5000 && step%2 == 0 {
			innocents++
		}
		for i := max(0, innocents-60); i < innocents; i++ {
			body := fmt.Sprintf("innocent-%d", i)
			if !f.done[body] && !f.busy(body) {
				f.try(body, false)
			}
		}
	}
	return innocents
}

// Guards against a request that costs more than two servers and against an
// innocent one that is refused or left unanswered because it was near.
func TestCrashingRequestIsContained(t *testing.T) {
	for _, seed := range seeds.ForTest(t, 10) {
		f := newFleet(seed, false)
		innocents := f.run()
		replay := seeds.ReplayCommand(t, "serve/quarantine", seed)
		for p := range 3 {
			body := fmt.Sprintf("poison-%d", p)
			require.LessOrEqual(t, f.byPoison[body], 2, replay)
			require.Positive(t, f.refused[body], replay)
		}
		for i := range innocents {
			body := fmt.Sprintf("innocent-%d", i)
			require.Zero(t, f.refused[body], "%s: %s", body, replay)
			require.True(t, f.done[body], "%s unanswered: %s", body, replay)
		}
		t.Logf("seed %d: %d crashes, %d innocents answered", seed, f.crashes, innocents)
	}
}

// Guards against a model in which no request could cost more than two servers.
func TestModelLosesServers(t *testing.T) {
	f := newFleet(1, true)
	f.run()
	t.Logf("without suspects: %d crashes by 3 requests sent 100 times", f.crashes)
	require.Greater(t, f.crashes, 100)
}

// Guards against suspects that grow without bound or stay for ever.
func TestBounds(t *testing.T) {
	s := quarantine.Settings{Retention: time.Minute, MaxSuspects: 5}
	g, now := quarantine.NewRegistry(s), time.UnixMilli(1_800_000_000_000)
	for i := range 50 {
		g.RecordCrash(now.Add(time.Duration(i)), strconv.Itoa(i), []quarantine.Fingerprint{fingerprint(strconv.Itoa(i))})
	}
	require.Equal(t, 5, g.Len())
	require.Equal(t, quarantine.Alone, g.Handling(now, fingerprint("49")))
	require.Equal(t, quarantine.Normal, g.Handling(now.Add(2*time.Minute), fingerprint("49")))
}

// Guards against a crash report that arrives after the clearance and makes an
// innocent request a suspect again.
func TestLateCrashReportStaysCleared(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	a, b := quarantine.NewRegistry(quarantine.DefaultSettings()), quarantine.NewRegistry(quarantine.DefaultSettings())
	f := fingerprint("innocent")
	crash := a.RecordCrash(now, "c1", []quarantine.Fingerprint{f, fingerprint("poison")})[0]
	cleared, ok := a.RecordAnswer(now.Add(2*time.Second), now.Add(time.Second), "a1", f)
	require.True(t, ok)
	b.Apply(now, cleared)
	b.Apply(now, crash)
	a.Apply(now, crash)
	require.Equal(t, quarantine.Normal, a.Handling(now, f))
	require.Equal(t, quarantine.Normal, b.Handling(now, f))
	again := b.RecordCrash(now.Add(time.Minute), "c2", []quarantine.Fingerprint{f, fingerprint("other")})
	require.Len(t, again, 2)
	require.Equal(t, quarantine.Alone, b.Handling(now.Add(time.Minute), f))
}

// Guards against copies of one crashing request that protect one another,
// because none of them was the only request in flight.
func TestCrashAmongCopiesCountsAsAlone(t *testing.T) {
	g, now := quarantine.NewRegistry(quarantine.DefaultSettings()), time.UnixMilli(1_800_000_000_000)
	poison, innocent := fingerprint("poison"), fingerprint("innocent")
	g.RecordCrash(now, "c1", []quarantine.Fingerprint{poison, innocent, poison})
	g.RecordCrash(now, "c2", []quarantine.Fingerprint{poison, poison, poison})
	require.Equal(t, quarantine.Refused, g.Handling(now, poison))
	require.Equal(t, quarantine.Alone, g.Handling(now, innocent))
}

// Guards against a request that is never refused, because the bounded list of
// its crashes was full before it crashed a server alone.
func TestCrashAloneCountsAfterManyCrashes(t *testing.T) {
	g, now := quarantine.NewRegistry(quarantine.DefaultSettings()), time.UnixMilli(1_800_000_000_000)
	poison := fingerprint("poison")
	for i := range 20 {
		g.RecordCrash(now, strconv.Itoa(i), []quarantine.Fingerprint{poison, fingerprint("innocent")})
	}
	require.Equal(t, quarantine.Alone, g.Handling(now, poison))
	g.RecordCrash(now, "alone", []quarantine.Fingerprint{poison})
	require.Equal(t, quarantine.Refused, g.Handling(now, poison))
}
