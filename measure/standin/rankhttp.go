package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/mapswitch"
	"github.com/filbertmux/filbertmux/rankgroup/rankapi"
)

// ExecuteBatch executes a batch of commands on the ranks of one replica. It
// refuses batches that arrive out of order.
func (g *RankGroup) ExecuteBatch(replica int, b rankapi.Batch) (rankapi.Response, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replicas[replica]
	if b.Session < r.session || b.Session == r.session && b.Seq <= r.batchSeq {
		g.staleBatches++
		return rankapi.Response{}, errkind.New(errkind.StaleFencingToken,
			"batch %d of session %d follows batch %d of session %d", b.Seq, b.Session, r.batchSeq, r.session)
	}
	if err := g.checkBatch(r, b); err != nil {
		return rankapi.Response{}, err
	}
	r.session, r.batchSeq = b.Session, b.Seq
	for _, c := range b.Commands {
		for _, id := range c.Ranks {
			g.applyMessage(r.rank(id), messageOf(c))
		}
	}
	return g.response(r), nil
}

// RankStatuses returns the status of the ranks of one replica.
func (g *RankGroup) RankStatuses(replica int) rankapi.Response {
	return withLock(g, func() rankapi.Response { return g.response(g.replicas[replica]) })
}

func (r *replicaState) rank(id mapswitch.RankID) *simulatedRank {
	index := slices.IndexFunc(r.ranks, func(x *simulatedRank) bool { return x.id == int(id) })
	if index < 0 {
		return nil
	}
	return r.ranks[index]
}

func messageOf(c rankapi.Command) mapswitch.Message {
	switch {
	case c.Stage != nil:
		return *c.Stage
	case c.Hold != nil:
		return *c.Hold
	case c.Release != nil:
		return *c.Release
	default:
		return nil
	}
}

// checkBatch validates all commands of a batch, so that a batch is executed
// either completely or not at all.
func (g *RankGroup) checkBatch(r *replicaState, b rankapi.Batch) error {
	for _, c := range b.Commands {
		if messageOf(c) == nil {
			return errkind.New(errkind.InvalidRequest, "command has no stage, hold or release")
		}
		for _, id := range c.Ranks {
			if r.rank(id) == nil {
				return errkind.New(errkind.InvalidRequest, "rank %d does not belong to this replica", id)
			}
		}
		if c.Stage == nil {
			continue
		}
		if c.Stage.Plan.Target == nil {
			return errkind.New(errkind.InvalidMap, "plan has no target map")
		}
		if err := c.Stage.Plan.Target.Validate(&g.topology); err != nil {
			return err
		}
	}
	return nil
}

func (g *RankGroup) applyMessage(r *simulatedRank, m mapswitch.Message) {
	before := r.State()
	planned, _ := r.PendingPlan()
	state := r.Handle(m)
	if plan, _ := r.PendingPlan(); plan.Attempt != planned.Attempt {
		g.recordAttempt(plan.Attempt)
		g.maps[plan.Attempt] = plan.Target
		g.dropUnusedMaps()
	}
	if state.Hold != nil && before.Hold == nil {
		g.recordAttempt(state.Hold.Attempt)
	}
	g.completeStaging(r)
}

// recordAttempt counts a command of an earlier lease holder that took effect
// after one of a later lease holder, and updates the newest attempt.
func (g *RankGroup) recordAttempt(a mapswitch.Attempt) {
	if a.Token < g.newestAttempt.Token {
		g.lateCommands++
	}
	if a.After(g.newestAttempt) {
		g.newestAttempt = a
	}
}

// dropUnusedMaps deletes the maps that no rank refers to.
func (g *RankGroup) dropUnusedMaps() {
	used := make(map[mapswitch.Attempt]bool)
	g.forEachRank(func(r *simulatedRank) {
		s := r.State()
		plan, _ := r.PendingPlan()
		for _, a := range []mapswitch.Attempt{s.Installed, s.Previous, plan.Attempt} {
			used[a] = true
		}
	})
	for a := range g.maps {
		if !used[a] {
			delete(g.maps, a)
		}
	}
}

func (g *RankGroup) completeStaging(r *simulatedRank) {
	if plan, open := r.PendingPlan(); open && len(g.missingWeights(r)) == 0 {
		r.CompleteStaging(plan.Attempt)
	}
}

// missingWeights lists the weights that a rank has not loaded yet for its pending
// plan.
func (g *RankGroup) missingWeights(r *simulatedRank) []rankapi.WeightsID {
	plan, open := r.PendingPlan()
	if !open || plan.Target == nil {
		return nil
	}
	var list []rankapi.WeightsID
	for layer, slots := range plan.Target.Layers {
		for _, e := range slots[r.id*g.cfg.SlotsPerRank : (r.id+1)*g.cfg.SlotsPerRank] {
			if e != experts.EmptySlot && !r.loaded[layerExpertID{layer, e}] {
				list = append(list, rankapi.WeightsID{Rank: mapswitch.RankID(r.id), Layer: layer, Expert: e})
			}
		}
	}
	return list
}

func (g *RankGroup) response(r *replicaState) rankapi.Response {
	resp := rankapi.Response{Session: r.session}
	for _, rank := range r.ranks {
		resp.Ranks = append(resp.Ranks, rankapi.RankStatus{State: rank.State(), Missing: g.missingWeights(rank)})
	}
	return resp
}

// PutWeights marks the weights of one expert as loaded on a rank.
func (g *RankGroup) PutWeights(replica int, w rankapi.WeightsID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replicas[replica].rank(w.Rank)
	if r == nil || w.Layer < 0 || w.Layer >= g.cfg.Layers || w.Expert < 0 || int(w.Expert) >= g.cfg.Experts {
		return errkind.New(errkind.InvalidRequest, "rank %d, layer %d or expert %d does not exist on this replica", w.Rank, w.Layer, w.Expert)
	}
	r.loaded[layerExpertID{w.Layer, w.Expert}] = true
	g.completeStaging(r)
	return nil
}

// Handler serves the rank API of one replica; see package rankapi. A stalled
// replica still responds, because its command server does not take part in the
// steps.
func (g *RankGroup) Handler(replica int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+rankapi.RanksPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, g.RankStatuses(replica))
	})
	mux.HandleFunc("GET "+rankapi.ReportPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, g.Report(replica))
	})
	mux.HandleFunc("POST "+rankapi.RanksPath, func(w http.ResponseWriter, r *http.Request) {
		var b rankapi.Batch
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			writeError(w, errkind.Wrap(errkind.InvalidRequest, err, "parse the rank commands"))
			return
		}
		g.waitForUnblock(replica, b)
		resp, err := g.ExecuteBatch(replica, b)
		writeResult(w, resp, err)
	})
	mux.HandleFunc("PUT "+rankapi.RanksPath+"/{rank}/weights/{layer}/{expert}", func(w http.ResponseWriter, r *http.Request) {
		g.servePutWeights(replica, w, r)
	})
	return mux
}

func (g *RankGroup) servePutWeights(replica int, w http.ResponseWriter, r *http.Request) {
	var ids [3]int
	for i, name := range []string{"rank", "layer", "expert"} {
		n, err := strconv.Atoi(r.PathValue(name))
		if err != nil {
			writeError(w, errkind.Wrap(errkind.InvalidRequest, err, name))
			return
		}
		ids[i] = n
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		writeError(w, errkind.Wrap(errkind.InvalidRequest, err, "read the weights"))
		return
	}
	err := g.PutWeights(replica, rankapi.WeightsID{Rank: mapswitch.RankID(ids[0]), Layer: ids[1], Expert: experts.Expert(ids[2])})
	writeResult(w, struct{}{}, err)
}
