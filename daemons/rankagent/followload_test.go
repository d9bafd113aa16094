package rankagent

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/config/fleet"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/rankgroup/countwindow"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/linkbudget"
	"github.com/filbertmux/filbertmux/rankgroup/mapdelta"
)

// loadSimulation plays a group whose requests choose other experts every few seconds,
// with the messages of its holder on a slow link. It has no I/O and its own clock.
type loadSimulation struct {
	engine   *fleet.Engine
	topology *experts.Topology
	link     linkbudget.Link
	rng      *rand.Rand
	now      time.Time
	inForce  *experts.Map
	// popularity is the share of each expert by layer, and counts the choices of each
	// rank since the start, by layer and expert.
	popularity [][]float64
	counts     [][]uint64
	windows    []countwindow.Window
	planner    *planner
	readers    linkbudget.Rotation
	// pending is the map that comes into force at pendingAt, or nil.
	pending   *experts.Map
	pendingAt time.Time
}

const (
	simulationTick = 50 * time.Millisecond
	// tokensPerTick is the number of choices of a rank in a layer within a tick, of
	// requestsPerTick independent requests.
	tokensPerTick   = 2000
	requestsPerTick = 3
)

func newLoadSimulation(seed uint64, ranks int, e *fleet.Experts, bytesPerSecond float64) *loadSimulation {
	s := &loadSimulation{
		engine: &fleet.Engine{StepTime: 6 * time.Millisecond, StepTimePerRequest: 800 * time.Microsecond, StepsPerPass: 8, Experts: e},
		link:   linkbudget.Link{BytesPerSecond: bytesPerSecond}, rng: rand.New(rand.NewPCG(seed, 0)),
		now: time.Unix(1000, 0), planner: newPlanner(), windows: make([]countwindow.Window, ranks),
	}
	s.topology = topology(e, make([]string, ranks))
	initial, _ := mapdelta.Initial(e.LayerSets, ranks, e.ExpertsPerLayer)
	s.inForce = &experts.Map{}
	for _, layer := range initial {
		slots := make(experts.Layer, s.topology.Slots())
		for i := range slots {
			slots[i] = experts.EmptySlot
		}
		for rank, list := range layer {
			for k, expert := range list {
				slots[rank*e.SlotsPerRank+k] = experts.Expert(expert)
			}
		}
		s.inForce.Layers = append(s.inForce.Layers, slots)
	}
	for range ranks {
		s.counts = append(s.counts, make([]uint64, e.LayerSets*e.ExpertsPerLayer))
	}
	s.changeMix(1)
	return s
}

// changeMix moves a share of the popularity to other experts.
func (s *loadSimulation) changeMix(share float64) {
	old := s.popularity
	s.popularity = nil
	for layer := range s.engine.Experts.LayerSets {
		p := make([]float64, s.engine.Experts.ExpertsPerLayer)
		total := 0.0
		for i, e := range s.rng.Perm(len(p)) {
			p[e] = math.Pow(float64(i+1), -0.63)
			total += p[e]
		}
		for e := range p {
			p[e] *= share / total
			if old != nil {
				p[e] += (1 - share) * old[layer][e]
			}
		}
		s.popularity = append(s.popularity, p)
	}
}

// tick lets all ranks serve requests. Each request prefers some experts.
func (s *loadSimulation) tick() {
	for _, counts := range s.counts {
		for layer, p := range s.popularity {
			for e, share := range p {
				mean := share * tokensPerTick
				preference := 0.0
				for range requestsPerTick {
					preference += s.rng.ExpFloat64() / requestsPerTick
				}
				counts[layer*len(p)+e] += uint64(mean*preference + s.rng.Float64())
			}
		}
	}
	for rank := range s.windows {
		counts := append([]uint64(nil), s.counts[rank]...)
		s.windows[rank].Add(s.now, 1, counts)
	}
}

// read returns the responses of the ranks whose counts the holder reads in this round.
func (s *loadSimulation) read(interval time.Duration) []*pb.ReadRankResponse {
	e := s.engine.Experts
	n := s.link.CountReadings(interval, s.topology.Ranks(), e.LayerSets*e.ExpertsPerLayer)
	var responses []*pb.ReadRankResponse
	for rank, selected := range s.readers.Select(s.topology.Ranks(), n) {
		r := &pb.ReadRankResponse{Rank: uint32(rank)}
		if increase, over, ok := s.windows[rank].Increase(s.now); ok && selected {
			encoded := countwindow.Encode(increase, e.LayerSets)
			r.RecentCounts = &pb.RecentCounts{OverMs: uint32(over.Milliseconds()), Largest: encoded.Largest, Levels: encoded.Levels}
		}
		responses = append(responses, r)
	}
	return responses
}

// skew returns the true skew of the map in force.
func (s *loadSimulation) skew() float64 {
	return experts.MeanSkew(s.topology, s.inForce, s.popularity)
}

// run plays a time with changes of the mix at an interval, and returns the skew of each
// tick.
func (s *loadSimulation) run(t *testing.T, total, interval time.Duration) []float64 {
	var skews []float64
	round := s.link.ReadInterval(idleInterval, s.topology.Ranks())
	nextRound, nextMix := s.now, s.now.Add(interval)
	for end := s.now.Add(total); s.now.Before(end); s.now = s.now.Add(simulationTick) {
		if !s.now.Before(nextMix) {
			s.changeMix(0.65)
			nextMix = nextMix.Add(interval)
		}
		s.tick()
		if s.pending != nil && !s.now.Before(s.pendingAt) {
			s.inForce, s.pending = s.pending, nil
		}
		if !s.now.Before(nextRound) {
			nextRound = s.now.Add(round)
			s.round(t, round)
		}
		skews = append(skews, s.skew())
	}
	return skews
}

// round reads counts and plans. A map comes into force when its orders are sent, the
// experts are copied and the ranks are armed.
func (s *loadSimulation) round(t *testing.T, interval time.Duration) {
	observed, err := s.planner.observe(s.now, s.engine.Experts, s.topology, s.inForce, s.read(interval), 3*interval)
	require.NoError(t, err)
	if !observed || s.pending != nil {
		return
	}
	d, err := s.planner.decide(s.now, s.engine, s.topology, s.inForce, passTimes{gap: 1}, s.link)
	require.NoError(t, err)
	if !d.Rebalance {
		return
	}
	const bytesPerMove = 4
	ranks := s.topology.Ranks()
	sizes := make([]int, ranks)
	for i := range sizes {
		sizes[i] = len(d.Moves) * bytesPerMove
	}
	rounds := (ranks-1)/s.link.Orders(prepareTimeout, sizes) + 1
	// The copies of a rank follow one another.
	s.pending, s.pendingAt = &d.Target, s.now.Add(time.Duration(rounds)*prepareTimeout+d.CopyTime+interval+maxLeadTime(ranks))
}

// Guards against expert maps that follow a change of the requests too late to be of use:
// the loads that they are planned from mixed the counts of several seconds.
func TestMapsFollowTheLoad(t *testing.T) {
	const megabit = 1e6 / 8
	for name, c := range map[string]struct {
		ranks   int
		experts fleet.Experts
		rate    float64
	}{
		"64 ranks": {64, fleet.Experts{
			LayerSets: 12, ExpertsPerLayer: 256, SlotsPerRank: 5, MaxNewPerLayer: 2, ExpertMegabytes: 73, LinkMbps: 44000, WorkShare: 0.85,
		}, 6 * megabit},
		"24 ranks": {24, fleet.Experts{
			LayerSets: 16, ExpertsPerLayer: 96, SlotsPerRank: 5, MaxNewPerLayer: 2, ExpertMegabytes: 150, LinkMbps: 44000, WorkShare: 0.85,
		}, 8 * megabit},
	} {
		t.Run(name, func(t *testing.T) {
			const change, settled = 4 * time.Second, 2 * time.Second
			s := newLoadSimulation(1, c.ranks, &c.experts, c.rate)
			unbalanced := s.skew()
			skews := s.run(t, 6*change, change)
			late, n := 0.0, 0
			for i, skew := range skews {
				if at := time.Duration(i) * simulationTick; at >= change && at%change >= settled {
					late += skew
					n++
				}
			}
			late /= float64(n)
			t.Logf("skew %.2f with the initial map, %.2f from %s after a change", unbalanced, late, settled)
			require.Less(t, late-1, (unbalanced-1)/3, "from %s after a change on", settled)
		})
	}
}
