package standin

import (
	"net/http"
	"strconv"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/rankgroup/rankapi"
)

// GroupPath answers with a GroupStatus.
const GroupPath = "/standin/group"

// GroupStatus is what a test sees of a RankGroup.
type GroupStatus struct {
	Step   uint64   `json:"step"`
	Epochs []uint64 `json:"epochs"`
	// Settled says that all ranks use the same map, none holds and none has
	// a map that is not in use yet.
	Settled bool `json:"settled"`
	Holding int  `json:"holding"`
	// Missing is the number of weights that staged plans still lack.
	Missing      int `json:"missing"`
	MixedSteps   int `json:"mixed_steps"`
	HeldSteps    int `json:"held_steps"`
	LateCommands int `json:"late_commands"`
	// StaleBatches counts batches of an earlier session, or overtaken ones.
	StaleBatches int `json:"stale_batches"`
	// Blocked is the number of batches that wait for the end of a block.
	Blocked int `json:"blocked"`
}

// Status returns the status of the group.
func (g *RankGroup) Status() GroupStatus {
	epochs := g.Epochs()
	g.mu.Lock()
	defer g.mu.Unlock()
	s := GroupStatus{
		Step: g.step, Epochs: epochs, Settled: true, MixedSteps: g.mixedSteps, HeldSteps: g.heldSteps,
		LateCommands: g.lateCommands, StaleBatches: g.staleBatches, Blocked: g.blocked,
	}
	g.each(func(r *groupRank) {
		state := r.State()
		s.Missing += len(g.missing(r))
		if state.Hold != nil {
			s.Holding++
		}
		if state.Hold != nil || state.Step < state.ActiveFrom || state.EpochAt(state.Step) != epochs[0] {
			s.Settled = false
		}
	})
	return s
}

// block identifies the commands that wait at a replica.
type block struct {
	replica int
	kind    string
}

// kindOf returns the kind by which a block names a command.
func kindOf(c rankapi.Command) string {
	switch {
	case c.Stage != nil:
		return "stage"
	case c.Hold != nil:
		return "hold"
	default:
		return "release"
	}
}

// Block makes batches with a command of a kind (stage, hold or release) wait
// at a replica until Unblock. They are then performed even if their sender
// gave up, as commands that the network delivers late.
func (g *RankGroup) BlockCommands(replica int, kind string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := block{replica, kind}
	if g.blocks[b] == nil {
		g.blocks[b] = make(chan struct{})
	}
}

// Unblock ends all blocks.
func (g *RankGroup) UnblockCommands() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for b, ended := range g.blocks {
		close(ended)
		delete(g.blocks, b)
	}
}

// await returns when no block concerns the batch.
func (g *RankGroup) await(replica int, b rankapi.Batch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range b.Commands {
		for ended := g.blocks[block{replica, kindOf(c)}]; ended != nil; ended = g.blocks[block{replica, kindOf(c)}] {
			g.blocked++
			g.mu.Unlock()
			<-ended
			g.mu.Lock()
			g.blocked--
		}
	}
}

// ControlHandler serves what tests need beside the commands of sidecars:
//
//	GET    /standin/group                     GroupStatus
//	PUT    /standin/stalled/{replica}         SetStalled; DELETE ends it
//	PUT    /standin/blocked/{replica}/{kind}  Block
//	DELETE /standin/blocked                   Unblock
func (g *RankGroup) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+GroupPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, g.Status())
	})
	mux.HandleFunc("PUT /standin/stalled/{replica}", g.onReplica(func(n int, _ *http.Request) { g.SetStalled(n, true) }))
	mux.HandleFunc("DELETE /standin/stalled/{replica}", g.onReplica(func(n int, _ *http.Request) { g.SetStalled(n, false) }))
	mux.HandleFunc("PUT /standin/blocked/{replica}/{kind}", g.onReplica(func(n int, r *http.Request) {
		g.BlockCommands(n, r.PathValue("kind"))
	}))
	mux.HandleFunc("DELETE /standin/blocked", func(w http.ResponseWriter, _ *http.Request) {
		g.UnblockCommands()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (g *RankGroup) onReplica(do func(n int, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.Atoi(r.PathValue("replica"))
		if err != nil || n < 0 || n >= g.cfg.Replicas {
			writeError(w, errkind.New(errkind.InvalidRequest, "replica %q of %d", r.PathValue("replica"), g.cfg.Replicas))
			return
		}
		do(n, r)
		w.WriteHeader(http.StatusNoContent)
	}
}
