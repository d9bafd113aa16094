package standin

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/errkind"
)

// RankGroupConfig sets up a RankGroup.
type RankGroupConfig struct {
	// RanksPerReplica lists how many ranks each replica hosts.
	RanksPerReplica []int
	Layers          int
	Experts         int
	// StepTime is the time of a step on a rank with mean load.
	StepTime time.Duration
	// ChecksFencing makes the ranks refuse commands with a stale token.
	ChecksFencing bool
	Seed          uint64
	// Popularity returns the relative popularity of an expert in a step. Nil
	// means that all experts are equally popular.
	Popularity func(step uint64, layer, expert int) float64
}

// RankGroup stands in for ranks that run in lock-step on an expert map. A step
// starts when no replica holds it back. It counts the steps in which replicas
// used different maps, which must never happen.
type RankGroup struct {
	cfg RankGroupConfig

	mu         sync.Mutex
	rng        *rand.Rand
	step       uint64
	replicas   []*replicaRanks
	mixedSteps int
	heldSteps  int
}

// replicaRanks is the state of the ranks of one replica.
type replicaRanks struct {
	ranks    int
	epoch    uint64
	loaded   map[uint64]bool
	holdAt   uint64
	pending  *activation
	stalled  bool
	highest  uint64
	counts   [][]uint64
	stepTime time.Duration
}

type activation struct {
	epoch uint64
	step  uint64
}

// RankCommandKind names a command to the ranks of one replica.
type RankCommandKind string

// Commands to ranks.
const (
	// LoadMap stages the weights of an epoch.
	LoadMap RankCommandKind = "load"
	// HoldStep keeps the ranks from entering Step and later steps.
	HoldStep RankCommandKind = "hold"
	// ActivateMap uses Epoch from Step on and ends a hold.
	ActivateMap RankCommandKind = "activate"
	// ReleaseHold ends a hold with the present map.
	ReleaseHold RankCommandKind = "release"
)

// RankCommand is the JSON body of POST /v1/ranks.
type RankCommand struct {
	Kind         RankCommandKind `json:"kind"`
	FencingToken uint64          `json:"fencing_token"`
	Epoch        uint64          `json:"epoch,omitempty"`
	Step         uint64          `json:"step,omitempty"`
}

// RankState is the JSON answer of GET and POST /v1/ranks. Counts are tokens
// for each layer and expert since the start.
type RankState struct {
	Step       uint64     `json:"step"`
	Epoch      uint64     `json:"epoch"`
	HoldAt     uint64     `json:"hold_at"`
	Loaded     []uint64   `json:"loaded"`
	StepTimeUS int64      `json:"step_time_us"`
	Counts     [][]uint64 `json:"counts"`
}

// NewRankGroup returns a group in step 0 with epoch 0 on all replicas.
func NewRankGroup(cfg RankGroupConfig) *RankGroup {
	g := &RankGroup{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1))}
	for _, ranks := range cfg.RanksPerReplica {
		g.replicas = append(g.replicas, &replicaRanks{
			ranks:    ranks,
			loaded:   map[uint64]bool{0: true},
			counts:   newCounts(cfg.Layers, cfg.Experts),
			stepTime: cfg.StepTime,
		})
	}
	return g
}

func newCounts(layers, experts int) [][]uint64 {
	counts := make([][]uint64, layers)
	for layer := range counts {
		counts[layer] = make([]uint64, experts)
	}
	return counts
}

// MixedSteps returns the number of steps in which replicas used different maps.
func (g *RankGroup) MixedSteps() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mixedSteps
}

// HeldSteps returns how often a step could not start.
func (g *RankGroup) HeldSteps() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heldSteps
}

// Step returns the number of the last step.
func (g *RankGroup) Step() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}

// Epochs returns the epoch in force on each replica.
func (g *RankGroup) Epochs() []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	epochs := make([]uint64, 0, len(g.replicas))
	for _, r := range g.replicas {
		epochs = append(epochs, r.epoch)
	}
	return epochs
}

// SetStalled stops or restarts the ranks of one replica.
func (g *RankGroup) SetStalled(replica int, stalled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replicas[replica].stalled = stalled
}

// Advance runs the next step and reports whether it could start.
func (g *RankGroup) Advance() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.step + 1
	for _, r := range g.replicas {
		if r.stalled || r.holdAt != 0 && next >= r.holdAt {
			g.heldSteps++
			return false
		}
	}
	g.step = next
	for _, r := range g.replicas {
		r.enter(next)
	}
	g.checkMaps()
	g.countTokens()
	return true
}

// Run advances the group every StepTime until ctx ends.
func (g *RankGroup) Run(ctx context.Context) {
	ticker := time.NewTicker(g.cfg.StepTime)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.Advance()
		case <-ctx.Done():
			return
		}
	}
}

func (r *replicaRanks) enter(step uint64) {
	if r.pending != nil && step >= r.pending.step {
		r.epoch = r.pending.epoch
		r.pending = nil
	}
}

func (g *RankGroup) checkMaps() {
	for _, r := range g.replicas {
		if r.epoch != g.replicas[0].epoch {
			g.mixedSteps++
			return
		}
	}
}

// tokensPerStep is the number of tokens that a replica counts in a step.
const tokensPerStep = 64

func (g *RankGroup) countTokens() {
	if g.cfg.Experts == 0 {
		return
	}
	for _, r := range g.replicas {
		for layer := range r.counts {
			for range tokensPerStep {
				r.counts[layer][g.pickExpert(layer)]++
			}
		}
	}
}

func (g *RankGroup) pickExpert(layer int) int {
	if g.cfg.Popularity == nil {
		return g.rng.IntN(g.cfg.Experts)
	}
	total := 0.0
	for expert := range g.cfg.Experts {
		total += g.cfg.Popularity(g.step, layer, expert)
	}
	rest := g.rng.Float64() * total
	for expert := range g.cfg.Experts {
		rest -= g.cfg.Popularity(g.step, layer, expert)
		if rest < 0 {
			return expert
		}
	}
	return g.cfg.Experts - 1
}

// Command applies a command to the ranks of one replica.
func (g *RankGroup) Command(replica int, c RankCommand) (RankState, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replicas[replica]
	if g.cfg.ChecksFencing && c.FencingToken < r.highest {
		return RankState{}, errkind.New(errkind.StaleFencingToken, "token %d is lower than %d", c.FencingToken, r.highest)
	}
	r.highest = max(r.highest, c.FencingToken)
	if err := g.apply(r, c); err != nil {
		return RankState{}, err
	}
	return g.state(r), nil
}

func (g *RankGroup) apply(r *replicaRanks, c RankCommand) error {
	switch c.Kind {
	case LoadMap:
		r.loaded[c.Epoch] = true
	case HoldStep:
		if c.Step <= g.step {
			return errkind.New(errkind.InvalidMap, "step %d has started, the group is in step %d", c.Step, g.step)
		}
		r.holdAt = c.Step
	case ActivateMap:
		return g.activate(r, c)
	case ReleaseHold:
		r.holdAt = 0
		r.pending = nil
	default:
		return errkind.New(errkind.InvalidRequest, "unknown command %q", c.Kind)
	}
	return nil
}

func (g *RankGroup) activate(r *replicaRanks, c RankCommand) error {
	if !r.loaded[c.Epoch] {
		return errkind.New(errkind.InvalidMap, "the weights of epoch %d are not loaded", c.Epoch)
	}
	if c.Step <= g.step {
		return errkind.New(errkind.InvalidMap, "step %d has started, the group is in step %d", c.Step, g.step)
	}
	r.pending = &activation{epoch: c.Epoch, step: c.Step}
	r.holdAt = 0
	return nil
}

func (g *RankGroup) state(r *replicaRanks) RankState {
	state := RankState{
		Step:       g.step,
		Epoch:      r.epoch,
		HoldAt:     r.holdAt,
		StepTimeUS: r.stepTime.Microseconds(),
		Loaded:     slices.Sorted(maps.Keys(r.loaded)),
		Counts:     newCounts(g.cfg.Layers, g.cfg.Experts),
	}
	for layer, counts := range r.counts {
		copy(state.Counts[layer], counts)
	}
	return state
}

// Handler serves the ranks of one replica: GET and POST /v1/ranks.
func (g *RankGroup) Handler(replica int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/ranks", func(w http.ResponseWriter, _ *http.Request) {
		g.mu.Lock()
		state := g.state(g.replicas[replica])
		g.mu.Unlock()
		writeJSON(w, http.StatusOK, state)
	})
	mux.HandleFunc("POST /v1/ranks", func(w http.ResponseWriter, r *http.Request) {
		var c RankCommand
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			writeError(w, errkind.Wrap(errkind.InvalidRequest, err, "rank command"))
			return
		}
		state, err := g.Command(replica, c)
		writeResult(w, state, err)
	})
	return mux
}
