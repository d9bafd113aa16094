package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/mapswitch"
)

// Popularity returns the relative popularity of an expert in a step.
type Popularity func(step uint64, layer, expert int) float64

// RankGroupConfig configures a RankGroup.
type RankGroupConfig struct {
	Replicas        int
	RanksPerReplica int
	Layers          int
	Experts         int
	SlotsPerRank    int
	// StepTime is the duration of a step on a rank with mean load.
	StepTime time.Duration
	// ChecksFencing tells which replicas refuse commands with a stale fencing
	// token. Nil means none.
	ChecksFencing func(replica int) bool
	Seed          uint64
	// Popularity is the initial popularity. Nil means equal popularity.
	Popularity Popularity
	// CountIntervalSteps is the number of steps between two publications of the
	// expert counts. 0 means 1.
	CountIntervalSteps uint64
	// IgnoreHolds lets ranks enter a step that a hold blocks. It disables a rule
	// of the map switch, to show that a test detects the violation.
	IgnoreHolds bool
}

// RankGroup simulates ranks that run an expert map in lock-step. A step starts
// when no rank has a hold on it. RankGroup counts the steps in which ranks used
// different maps, which must never happen. It is safe for concurrent use.
type RankGroup struct {
	cfg      RankGroupConfig
	topology experts.Topology

	mu         sync.Mutex
	rng        *rand.Rand
	popularity Popularity
	step       uint64
	replicas   []*replicaState
	maps       map[mapswitch.Attempt]*experts.Map
	// newestAttempt is the latest attempt that any rank has staged or holds for.
	newestAttempt mapswitch.Attempt
	mixedSteps    int
	heldSteps     int
	lateCommands  int
	staleBatches  int
	// blocks maps each block to a channel that UnblockCommands closes.
	blocks         map[commandBlock]chan struct{}
	blockedBatches int
}

// replicaState is the state of the ranks of one replica. session and batchSeq
// identify the last batch that it accepted.
type replicaState struct {
	ranks           []*simulatedRank
	session         uint64
	batchSeq        uint64
	stalled         bool
	expertCounts    [][]uint64
	publishedCounts [][]uint64
	countedAt       time.Time
}

// simulatedRank is one rank and the experts whose weights it has loaded.
type simulatedRank struct {
	*mapswitch.Rank
	id     int
	loaded map[layerExpertID]bool
}

type layerExpertID struct {
	layer  int
	expert experts.Expert
}

// NewRankGroup returns a group at step 0 with the uniform map on all ranks.
func NewRankGroup(cfg RankGroupConfig) (*RankGroup, error) {
	cfg.CountIntervalSteps = max(1, cfg.CountIntervalSteps)
	g := &RankGroup{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), popularity: cfg.Popularity,
		blocks: make(map[commandBlock]chan struct{}),
	}
	g.topology = experts.Topology{
		Experts: cfg.Experts, SlotsPerRank: cfg.SlotsPerRank,
		Domains: make([]string, cfg.Replicas*cfg.RanksPerReplica),
	}
	initial, err := experts.UniformMap(&g.topology, cfg.Layers)
	if err != nil {
		return nil, err
	}
	g.maps = map[mapswitch.Attempt]*experts.Map{{}: &initial}
	for n := range cfg.Replicas {
		g.replicas = append(g.replicas, g.newReplica(n))
	}
	return g, nil
}

func (g *RankGroup) newReplica(n int) *replicaState {
	r := &replicaState{
		expertCounts: newCounts(g.cfg.Layers, g.cfg.Experts), publishedCounts: newCounts(g.cfg.Layers, g.cfg.Experts),
		countedAt: time.Now(),
	}
	checks := g.cfg.ChecksFencing != nil && g.cfg.ChecksFencing(n)
	for i := range g.cfg.RanksPerReplica {
		id := n*g.cfg.RanksPerReplica + i
		rank := &simulatedRank{Rank: mapswitch.NewRank(mapswitch.RankID(id), 0, checks), id: id}
		rank.loaded = g.hostedExperts(id, g.maps[mapswitch.Attempt{}])
		r.ranks = append(r.ranks, rank)
	}
	return r
}

// hostedExperts returns the experts that a map places on a rank.
func (g *RankGroup) hostedExperts(rank int, m *experts.Map) map[layerExpertID]bool {
	hosted := make(map[layerExpertID]bool)
	for layer, slots := range m.Layers {
		for _, e := range slots[rank*g.cfg.SlotsPerRank : (rank+1)*g.cfg.SlotsPerRank] {
			if e != experts.EmptySlot {
				hosted[layerExpertID{layer, e}] = true
			}
		}
	}
	return hosted
}

func newCounts(layers, n int) [][]uint64 {
	counts := make([][]uint64, layers)
	for layer := range counts {
		counts[layer] = make([]uint64, n)
	}
	return counts
}

// MixedSteps returns the number of steps in which ranks used different maps.
func (g *RankGroup) MixedSteps() int { return withLock(g, func() int { return g.mixedSteps }) }

// HeldSteps returns how often a hold kept a step from starting.
func (g *RankGroup) HeldSteps() int { return withLock(g, func() int { return g.heldSteps }) }

// LateCommands returns the number of stage and hold commands of an earlier lease
// holder that took effect after one of a later lease holder.
func (g *RankGroup) LateCommands() int { return withLock(g, func() int { return g.lateCommands }) }

// Step returns the number of the current step.
func (g *RankGroup) Step() uint64 { return withLock(g, func() uint64 { return g.step }) }

// Epochs returns the map epoch that each replica uses in the current step.
func (g *RankGroup) Epochs() []uint64 {
	return withLock(g, func() []uint64 {
		epochs := make([]uint64, 0, len(g.replicas))
		for _, r := range g.replicas {
			s := r.ranks[0].State()
			epochs = append(epochs, s.EpochAt(s.Step))
		}
		return epochs
	})
}

// HoldingRanks returns the number of ranks with a hold.
func (g *RankGroup) HoldingRanks() int {
	return withLock(g, func() int {
		n := 0
		g.forEachRank(func(r *simulatedRank) {
			if r.State().Hold != nil {
				n++
			}
		})
		return n
	})
}

// SetStalled stalls or resumes the ranks of one replica. A stalled replica stops
// the steps of the whole group.
func (g *RankGroup) SetStalled(replica int, stalled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replicas[replica].stalled = stalled
}

// SetPopularity replaces the popularity of the experts.
func (g *RankGroup) SetPopularity(p Popularity) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.popularity = p
}

func withLock[T any](g *RankGroup, read func() T) T {
	g.mu.Lock()
	defer g.mu.Unlock()
	return read()
}

func (g *RankGroup) forEachRank(visit func(r *simulatedRank)) {
	for _, replica := range g.replicas {
		for _, r := range replica.ranks {
			visit(r)
		}
	}
}

// Advance runs the next step and reports whether it started.
func (g *RankGroup) Advance() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.mayStartStep() {
		return false
	}
	g.step++
	g.forEachRank(func(r *simulatedRank) { r.EnterNextStep() })
	g.countMixedStep()
	g.forEachRank(g.dropUnusedWeights)
	g.countTokens()
	return true
}

func (g *RankGroup) mayStartStep() bool {
	held := false
	for _, replica := range g.replicas {
		if replica.stalled {
			return false
		}
		for _, r := range replica.ranks {
			held = held || !r.MayEnterNextStep()
		}
	}
	if held {
		g.heldSteps++
	}
	return !held || g.cfg.IgnoreHolds
}

// countMixedStep counts the step just entered if ranks use different maps in it.
func (g *RankGroup) countMixedStep() {
	first := g.replicas[0].ranks[0].State()
	mixed := false
	g.forEachRank(func(r *simulatedRank) {
		s := r.State()
		mixed = mixed || s.AttemptAt(g.step) != first.AttemptAt(g.step) || s.EpochAt(g.step) != first.EpochAt(g.step)
	})
	if mixed {
		g.mixedSteps++
	}
}

// dropUnusedWeights unloads the weights that the installed map does not need, in
// the first step that uses the map.
func (g *RankGroup) dropUnusedWeights(r *simulatedRank) {
	s := r.State()
	if s.Step != s.ActiveFrom {
		return
	}
	if m := g.maps[s.Installed]; m != nil {
		r.loaded = g.hostedExperts(r.id, m)
	}
}

// Run advances the group every StepTime until ctx is cancelled.
func (g *RankGroup) Run(ctx context.Context) error {
	ticker := time.NewTicker(g.cfg.StepTime)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.Advance()
		case <-ctx.Done():
			return nil
		}
	}
}
