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

// fleet is a model of servers whose registries get reports after a delay.
type fleet struct {
	rng      *rand.Rand
	now      time.Time
	disabled bool // requests run without quarantine
	// entry gets the reports in the replies to its requests at once and attaches
	// them to the next attempt.
	entry         *quarantine.Registry
	registries    []*quarantine.Registry
	servers       []*quarantine.ServerTracker
	inFlight      []*inFlightRequest
	pending       []delayedReport
	crashes       int
	crashesByBody map[string]int
	refused       map[string]int
	answered      map[string]bool
	id            uint64
}

type inFlightRequest struct {
	id     uint64
	server int
	body   string
	poison bool
	ends   time.Time
}

type delayedReport struct {
	deliverAt time.Time
	to        int
	report    quarantine.Report
}

const servers = 20

func newFleet(seed uint64, disabled bool) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 3)), now: time.UnixMilli(1_800_000_000_000), disabled: disabled,
		entry:         quarantine.NewRegistry(quarantine.DefaultSettings()),
		crashesByBody: make(map[string]int), refused: make(map[string]int), answered: make(map[string]bool),
	}
	for range servers {
		r := quarantine.NewRegistry(quarantine.DefaultSettings())
		f.registries = append(f.registries, r)
		f.servers = append(f.servers, quarantine.NewServerTracker(r))
	}
	return f
}

// broadcast sends reports to all registries, some of them twice.
func (f *fleet) broadcast(reports []quarantine.Report) {
	for _, r := range reports {
		f.entry.Apply(f.now, r)
		for to := range servers {
			for range 1 + f.rng.IntN(2) {
				delay := time.Duration(f.rng.Int64N(int64(2 * time.Second)))
				f.pending = append(f.pending, delayedReport{deliverAt: f.now.Add(delay), to: to, report: r})
			}
		}
	}
}

func fingerprint(body string) quarantine.Fingerprint {
	return quarantine.Fingerprint{Service: "text-desk", Organisation: "org", BodyHash: body}
}

// send sends a request to a random server. It returns false if the request has to
// wait.
func (f *fleet) send(body string, poison bool) bool {
	f.id++
	server := f.rng.IntN(servers)
	key := fingerprint(body)
	if f.disabled {
		key = fingerprint(strconv.FormatUint(f.id, 10))
	}
	for _, r := range f.entry.Reports(key) {
		f.registries[server].Apply(f.now, r)
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
	f.inFlight = append(f.inFlight, &inFlightRequest{id: f.id, server: server, body: body, poison: poison, ends: ends})
	return true
}

func (f *fleet) step() {
	f.now = f.now.Add(10 * time.Millisecond)
	pending := f.pending
	f.pending = nil
	for _, r := range pending {
		if r.deliverAt.After(f.now) {
			f.pending = append(f.pending, r)
		} else {
			f.registries[r.to].Apply(f.now, r.report)
		}
	}
	crashed := make(map[int]bool)
	running := f.inFlight
	f.inFlight = nil
	for _, r := range running {
		switch {
		case r.ends.After(f.now) || crashed[r.server]:
			f.inFlight = append(f.inFlight, r)
		case r.poison:
			crashed[r.server] = true
			f.crashes++
			f.crashesByBody[r.body]++
			f.broadcast(f.servers[r.server].RecordCrash(f.now, fmt.Sprintf("crash-%d", f.crashes)))
		default:
			f.answered[r.body] = true
			if report, ok := f.servers[r.server].End(f.now, r.id, true, fmt.Sprintf("clear-%d", r.id)); ok {
				f.broadcast([]quarantine.Report{report})
			}
		}
	}
	running = f.inFlight
	f.inFlight = nil
	for _, r := range running {
		if !crashed[r.server] {
			f.inFlight = append(f.inFlight, r)
		}
	}
}

func (f *fleet) isInFlight(body string) bool {
	for _, r := range f.inFlight {
		if r.body == body {
			return true
		}
	}
	return false
}

// run sends each of three poison requests 100 times, one after the other, while
// many innocent requests are in flight and retried until they are answered.
func (f *fleet) run() (innocents int) {
	sent := make(map[string]int)
	for step := range 6000 {
		f.step()
		for p := range 3 {
			body := fmt.Sprintf("poison-%d", p)
			if !f.isInFlight(body) && sent[body] < 100 && f.send(body, true) {
				sent[body]++
			}
		}
		if step < 5000 && step%2 == 0 {
			innocents++
		}
		for i := max(0, innocents-60); i < innocents; i++ {
			body := fmt.Sprintf("innocent-%d", i)
			if !f.answered[body] && !f.isInFlight(body) {
				f.send(body, false)
			}
		}
	}
	return innocents
}

// Guards against a poison request that crashes more than two servers, and against
// an innocent request that is refused or left unanswered because it was in flight
// with a poison request.
func TestCrashingRequestIsContained(t *testing.T) {
	for _, seed := range seeds.ForTest(t, 10) {
		f := newFleet(seed, false)
		innocents := f.run()
		replay := seeds.ReplayCommand(t, "serve/quarantine", seed)
		for p := range 3 {
			body := fmt.Sprintf("poison-%d", p)
			require.LessOrEqual(t, f.crashesByBody[body], 2, replay)
			require.Positive(t, f.refused[body], replay)
		}
		for i := range innocents {
			body := fmt.Sprintf("innocent-%d", i)
			require.Zero(t, f.refused[body], "%s: %s", body, replay)
			require.True(t, f.answered[body], "%s was not answered: %s", body, replay)
		}
		t.Logf("seed %d: %d crashes, %d innocents answered", seed, f.crashes, innocents)
	}
}

// Guards against a model in which no request could crash more than two servers
// even without quarantine.
func TestModelWithoutQuarantineLosesServers(t *testing.T) {
	f := newFleet(1, true)
	f.run()
	t.Logf("without quarantine: %d crashes by 3 requests sent 100 times", f.crashes)
	require.Greater(t, f.crashes, 100)
}

// Guards against a Registry that grows without bound or keeps suspects forever.
func TestRegistryBounds(t *testing.T) {
	s := quarantine.Settings{Retention: time.Minute, MaxSuspects: 5}
	registry, now := quarantine.NewRegistry(s), time.UnixMilli(1_800_000_000_000)
	for i := range 50 {
		registry.RecordCrash(now.Add(time.Duration(i)), strconv.Itoa(i), []quarantine.Fingerprint{fingerprint(strconv.Itoa(i))})
	}
	require.Equal(t, 5, registry.Len())
	require.Equal(t, quarantine.Alone, registry.Handling(now, fingerprint("49")))
	require.Equal(t, quarantine.Normal, registry.Handling(now.Add(2*time.Minute), fingerprint("49")))
}

// Guards against a crash report that makes an innocent request a suspect again,
// because it arrives after the clearance.
func TestLateCrashReportStaysCleared(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	a, b := quarantine.NewRegistry(quarantine.DefaultSettings()), quarantine.NewRegistry(quarantine.DefaultSettings())
	f := fingerprint("innocent")
	crash := a.RecordCrash(now, "c1", []quarantine.Fingerprint{f, fingerprint("poison")})[0]
	cleared, ok := a.RecordResponse(now.Add(2*time.Second), now.Add(time.Second), "a1", f)
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

// Guards against a poison request that is never refused because copies of it were
// in flight together, so that none of them was the only request in flight.
func TestCrashAmongCopiesCountsAsAlone(t *testing.T) {
	registry, now := quarantine.NewRegistry(quarantine.DefaultSettings()), time.UnixMilli(1_800_000_000_000)
	poison, innocent := fingerprint("poison"), fingerprint("innocent")
	registry.RecordCrash(now, "c1", []quarantine.Fingerprint{poison, innocent, poison})
	registry.RecordCrash(now, "c2", []quarantine.Fingerprint{poison, poison, poison})
	require.Equal(t, quarantine.Refused, registry.Handling(now, poison))
	require.Equal(t, quarantine.Alone, registry.Handling(now, innocent))
}

// Guards against a poison request that is never refused because the bounded list
// of its crashes was full before it crashed a server alone.
func TestCrashAloneCountsAfterManyCrashes(t *testing.T) {
	registry, now := quarantine.NewRegistry(quarantine.DefaultSettings()), time.UnixMilli(1_800_000_000_000)
	poison := fingerprint("poison")
	for i := range 20 {
		registry.RecordCrash(now, strconv.Itoa(i), []quarantine.Fingerprint{poison, fingerprint("innocent")})
	}
	require.Equal(t, quarantine.Alone, registry.Handling(now, poison))
	registry.RecordCrash(now, "alone", []quarantine.Fingerprint{poison})
	require.Equal(t, quarantine.Refused, registry.Handling(now, poison))
}
