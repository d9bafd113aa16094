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

// RankGroupConfig sets up a RankGroup.
type RankGroupConfig struct {
	Replicas        int
	RanksPerReplica int
	Layers          int
	Experts         int
	SlotsPerRank    int
	// StepTime is the time of a step on a rank with mean load.
	StepTime time.Duration
	// ChecksFencing tells which replicas refuse commands with a stale token.
	// Nil means none.
	ChecksFencing func(replica int) bool
	Seed          uint64
	// Popularity is the initial popularity. Nil means equal popularity.
	Popularity Popularity
	// CountEvery is the number of steps after which new counts are published.
	CountIntervalSteps uint64
	// IgnoreHolds lets ranks enter a promised step undecided. It switches a
	// rule of the map switch off, to show that a test notices.
	IgnoreHolds bool
}

// RankGroup stands in for ranks that run in lock-step on an expert map. A step
// starts when no rank holds it back. It counts the steps in which ranks used
// different maps, which must never happen. It is safe for concurrent use.
type RankGroup struct {
	cfg      RankGroupConfig
	topology experts.Topology

	mu         sync.Mutex
	rng        *rand.Rand
	popularity Popularity
	step       uint64
	replicas   []*replicaRanks
	maps       map[mapswitch.Attempt]*experts.Map
	// newest is the latest attempt token that was staged anywhere.
	newest       mapswitch.Attempt
	mixedSteps   int
	heldSteps    int
	lateCommands int
	staleBatches int
	// blocks holds a channel for each block, closed at its end.
	blocks  map[block]chan struct{}
	blocked int
}

// replicaRanks is the state of the ranks of one replica.
type replicaRanks struct {
	ranks     []*groupRank
	session   uint64
	seq       uint64
	stalled   bool
	counts    [][]uint64
	published [][]uint64
	countedAt time.Time
}

// groupRank is one rank with the experts whose weights it has.
type groupRank struct {
	*mapswitch.Rank
	id     int
	loaded map[layerExpert]bool
}

type layerExpert struct {
	layer  int
	expert experts.Expert
}

// NewRankGroup returns a group in step 0 with the uniform map on all ranks.
func NewRankGroup(cfg RankGroupConfig) (*RankGroup, error) {
	cfg.CountIntervalSteps = max(1, cfg.CountIntervalSteps)
	g := &RankGroup{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), popularity: cfg.Popularity,
		blocks: make(map[block]chan struct{}),
	}
	g.topology = experts.Topology{
		Experts: cfg.Experts, SlotsPerRank: cfg.SlotsPerRank,
		Domains: make([]string, cfg.Replicas*cfg.RanksPerReplica),
	}
	first, err := experts.UniformMap(&g.topology, cfg.Layers)
	if err != nil {
		return nil, err
	}
	g.maps = map[mapswitch.Attempt]*experts.Map{{}: &first}
	for n := range cfg.Replicas {
		g.replicas = append(g.replicas, g.newReplica(n))
	}
	return g, nil
}

func (g *RankGroup) newReplica(n int) *replicaRanks {
	r := &replicaRanks{
		counts: newCounts(g.cfg.Layers, g.cfg.Experts), published: newCounts(g.cfg.Layers, g.cfg.Experts),
		countedAt: time.Now(),
	}
	checks := g.cfg.ChecksFencing != nil && g.cfg.ChecksFencing(n)
	for i := range g.cfg.RanksPerReplica {
		id := n*g.cfg.RanksPerReplica + i
		rank := &groupRank{Rank: mapswitch.NewRank(mapswitch.RankID(id), 0, checks), id: id}
		rank.loaded = g.hosted(id, g.maps[mapswitch.Attempt{}])
		r.ranks = append(r.ranks, rank)
	}
	return r
}

// hosted returns the experts that a map places on a rank.
func (g *RankGroup) hosted(rank int, m *experts.Map) map[layerExpert]bool {
	set := make(map[layerExpert]bool)
	for layer, slots := range m.Layers {
		for _, e := range slots[rank*g.cfg.SlotsPerRank : (rank+1)*g.cfg.SlotsPerRank] {
			if e != experts.EmptySlot {
				set[layerExpert{layer, e}] = true
			}
		}
	}
	return set
}

func newCounts(layers, n int) [][]uint64 {
	counts := make([][]uint64, layers)
	for layer := range counts {
		counts[layer] = make([]uint64, n)
	}
	return counts
}

// MixedSteps returns the number of steps in which ranks used different maps.
func (g *RankGroup) MixedSteps() int { return locked(g, func() int { return g.mixedSteps }) }

// HeldSteps returns how often a step could not start because of a hold.
func (g *RankGroup) HeldSteps() int { return locked(g, func() int { return g.heldSteps }) }

// LateCommands returns the number of stage and hold commands of an earlier
// holder that were performed after one of a later holder.
func (g *RankGroup) LateCommands() int { return locked(g, func() int { return g.lateCommands }) }

// Step returns the number of the last step.
func (g *RankGroup) Step() uint64 { return locked(g, func() uint64 { return g.step }) }

// Epochs returns the epoch that each replica uses in the last step.
func (g *RankGroup) Epochs() []uint64 {
	return locked(g, func() []uint64 {
		epochs := make([]uint64, 0, len(g.replicas))
		for _, r := range g.replicas {
			s := r.ranks[0].State()
			epochs = append(epochs, s.EpochAt(s.Step))
		}
		return epochs
	})
}

// Holding returns the number of ranks that hold.
func (g *RankGroup) HoldingRanks() int {
	return locked(g, func() int {
		n := 0
		g.each(func(r *groupRank) {
			if r.State().Hold != nil {
				n++
			}
		})
		return n
	})
}

// SetStalled stops or restarts the ranks of one replica.
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

func locked[T any](g *RankGroup, read func() T) T {
	g.mu.Lock()
	defer g.mu.Unlock()
	return read()
}

func (g *RankGroup) each(do func(r *groupRank)) {
	for _, replica := range g.replicas {
		for _, r := range replica.ranks {
			do(r)
		}
	}
}

// Advance runs the next step and reports whether it could start.
func (g *RankGroup) Advance() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.mayEnter() {
		return false
	}
	g.step++
	g.each(func(r *groupRank) { r.EnterNextStep() })
	g.checkMaps()
	g.each(g.dropUnused)
	g.countTokens()
	return true
}

func (g *RankGroup) mayEnter() bool {
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

// checkMaps compares the maps that the ranks use in the step just entered.
func (g *RankGroup) checkMaps() {
	first := g.replicas[0].ranks[0].State()
	mixed := false
	g.each(func(r *groupRank) {
		s := r.State()
		mixed = mixed || s.AttemptAt(g.step) != first.AttemptAt(g.step) || s.EpochAt(g.step) != first.EpochAt(g.step)
	})
	if mixed {
		g.mixedSteps++
	}
}

// dropUnused frees the weights that the map in force does not need, in the
// step that enters it.
func (g *RankGroup) dropUnused(r *groupRank) {
	s := r.State()
	if s.Step != s.ActiveFrom {
		return
	}
	if m := g.maps[s.Installed]; m != nil {
		r.loaded = g.hosted(r.id, m)
	}
}

// Run advances the group every StepTime until ctx ends.
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
