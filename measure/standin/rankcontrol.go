package standin

import (
	"net/http"
	"strconv"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/rankgroup/rankapi"
)

// GroupPath serves the GroupStatus.
const GroupPath = "/standin/group"

// GroupStatus is the state of a RankGroup that tests can read.
type GroupStatus struct {
	Step   uint64   `json:"step"`
	Epochs []uint64 `json:"epochs"`
	// Settled reports that all ranks use the same map, no rank has a hold, and no
	// rank has installed a map that is not in use yet.
	Settled bool `json:"settled"`
	// Holding is the number of ranks with a hold.
	Holding int `json:"holding"`
	// Missing is the number of experts whose weights ranks still lack for their
	// pending plans.
	Missing      int `json:"missing"`
	MixedSteps   int `json:"mixed_steps"`
	HeldSteps    int `json:"held_steps"`
	LateCommands int `json:"late_commands"`
	// StaleBatches counts the refused batches: those of an earlier session, and
	// those that arrived after a later batch of the same session.
	StaleBatches int `json:"stale_batches"`
	// Blocked is the number of batches that wait for UnblockCommands.
	Blocked int `json:"blocked"`
}

// Status returns the status of the group.
func (g *RankGroup) Status() GroupStatus {
	epochs := g.Epochs()
	g.mu.Lock()
	defer g.mu.Unlock()
	s := GroupStatus{
		Step: g.step, Epochs: epochs, Settled: true, MixedSteps: g.mixedSteps, HeldSteps: g.heldSteps,
		LateCommands: g.lateCommands, StaleBatches: g.staleBatches, Blocked: g.blockedBatches,
	}
	g.forEachRank(func(r *simulatedRank) {
		state := r.State()
		s.Missing += len(g.missingWeights(r))
		if state.Hold != nil {
			s.Holding++
		}
		if state.Hold != nil || state.Step < state.ActiveFrom || state.EpochAt(state.Step) != epochs[0] {
			s.Settled = false
		}
	})
	return s
}

// commandBlock identifies the commands that a block delays: those of one kind at
// one replica.
type commandBlock struct {
	replica int
	kind    string
}

// kindOf returns the kind of a command as used in a commandBlock.
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

// BlockCommands delays batches with a command of a kind (stage, hold or release)
// at a replica until UnblockCommands. They are then executed even if their sender
// has timed out, like commands that the network delivers late.
func (g *RankGroup) BlockCommands(replica int, kind string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := commandBlock{replica, kind}
	if g.blocks[b] == nil {
		g.blocks[b] = make(chan struct{})
	}
}

// UnblockCommands ends all blocks.
func (g *RankGroup) UnblockCommands() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for b, ended := range g.blocks {
		close(ended)
		delete(g.blocks, b)
	}
}

// waitForUnblock waits until no block applies to the batch.
func (g *RankGroup) waitForUnblock(replica int, b rankapi.Batch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range b.Commands {
		for ended := g.blocks[commandBlock{replica, kindOf(c)}]; ended != nil; ended = g.blocks[commandBlock{replica, kindOf(c)}] {
			g.blockedBatches++
			g.mu.Unlock()
			<-ended
			g.mu.Lock()
			g.blockedBatches--
		}
	}
}

// ControlHandler serves the API by which tests control the group:
//
//	GET    /standin/group                     Status
//	PUT    /standin/stalled/{replica}         SetStalled(replica, true)
//	DELETE /standin/stalled/{replica}         SetStalled(replica, false)
//	PUT    /standin/blocked/{replica}/{kind}  BlockCommands
//	DELETE /standin/blocked                   UnblockCommands
func (g *RankGroup) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+GroupPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, g.Status())
	})
	mux.HandleFunc("PUT /standin/stalled/{replica}", g.replicaHandler(func(n int, _ *http.Request) { g.SetStalled(n, true) }))
	mux.HandleFunc("DELETE /standin/stalled/{replica}", g.replicaHandler(func(n int, _ *http.Request) { g.SetStalled(n, false) }))
	mux.HandleFunc("PUT /standin/blocked/{replica}/{kind}", g.replicaHandler(func(n int, r *http.Request) {
		g.BlockCommands(n, r.PathValue("kind"))
	}))
	mux.HandleFunc("DELETE /standin/blocked", func(w http.ResponseWriter, _ *http.Request) {
		g.UnblockCommands()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (g *RankGroup) replicaHandler(do func(n int, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.Atoi(r.PathValue("replica"))
		if err != nil || n < 0 || n >= g.cfg.Replicas {
			writeError(w, errkind.New(errkind.InvalidRequest, "replica %q is not an index below %d", r.PathValue("replica"), g.cfg.Replicas))
			return
		}
		do(n, r)
		w.WriteHeader(http.StatusNoContent)
	}
}
