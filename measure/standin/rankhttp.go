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

// Command performs a batch on the ranks of one replica.
func (g *RankGroup) ExecuteBatch(replica int, b rankapi.Batch) (rankapi.Response, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replicas[replica]
	if b.Session < r.session || b.Session == r.session && b.Seq <= r.seq {
		g.staleBatches++
		return rankapi.Response{}, errkind.New(errkind.StaleFencingToken,
			"batch %d of session %d follows batch %d of session %d", b.Seq, b.Session, r.seq, r.session)
	}
	if err := g.checkBatch(r, b); err != nil {
		return rankapi.Response{}, err
	}
	r.session, r.seq = b.Session, b.Seq
	for _, c := range b.Commands {
		for _, id := range c.Ranks {
			g.perform(r.rank(id), message(c))
		}
	}
	return g.answer(r), nil
}

// State returns the state of the ranks of one replica.
func (g *RankGroup) RankStatuses(replica int) rankapi.Response {
	return locked(g, func() rankapi.Response { return g.answer(g.replicas[replica]) })
}

func (r *replicaRanks) rank(id mapswitch.RankID) *groupRank {
	at := slices.IndexFunc(r.ranks, func(x *groupRank) bool { return x.id == int(id) })
	if at < 0 {
		return nil
	}
	return r.ranks[at]
}

func message(c rankapi.Command) mapswitch.Message {
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

// checkBatch refuses a batch as a whole, so that none of it is performed.
func (g *RankGroup) checkBatch(r *replicaRanks, b rankapi.Batch) error {
	for _, c := range b.Commands {
		if message(c) == nil {
			return errkind.New(errkind.InvalidRequest, "command without content")
		}
		for _, id := range c.Ranks {
			if r.rank(id) == nil {
				return errkind.New(errkind.InvalidRequest, "rank %d is not here", id)
			}
		}
		if c.Stage == nil {
			continue
		}
		if c.Stage.Plan.Target == nil {
			return errkind.New(errkind.InvalidMap, "plan without a map")
		}
		if err := c.Stage.Plan.Target.Validate(&g.topology); err != nil {
			return err
		}
	}
	return nil
}

func (g *RankGroup) perform(r *groupRank, m mapswitch.Message) {
	before := r.State()
	planned, _ := r.PendingPlan()
	state := r.Handle(m)
	if plan, _ := r.PendingPlan(); plan.Attempt != planned.Attempt {
		g.note(plan.Attempt)
		g.maps[plan.Attempt] = plan.Target
		g.prune()
	}
	if state.Hold != nil && before.Hold == nil {
		g.note(state.Hold.Attempt)
	}
	g.completeStaging(r)
}

// note counts commands of an earlier holder that took effect after those of a
// later one.
func (g *RankGroup) note(a mapswitch.Attempt) {
	if a.Token < g.newest.Token {
		g.lateCommands++
	}
	if a.After(g.newest) {
		g.newest = a
	}
}

// prune drops the maps that no rank refers to.
func (g *RankGroup) prune() {
	used := make(map[mapswitch.Attempt]bool)
	g.each(func(r *groupRank) {
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

func (g *RankGroup) completeStaging(r *groupRank) {
	if plan, open := r.PendingPlan(); open && len(g.missing(r)) == 0 {
		r.CompleteStaging(plan.Attempt)
	}
}

// missing lists the weights that the plan of a rank still lacks.
func (g *RankGroup) missing(r *groupRank) []rankapi.WeightsID {
	plan, open := r.PendingPlan()
	if !open || plan.Target == nil {
		return nil
	}
	var list []rankapi.WeightsID
	for layer, slots := range plan.Target.Layers {
		for _, e := range slots[r.id*g.cfg.SlotsPerRank : (r.id+1)*g.cfg.SlotsPerRank] {
			if e != experts.EmptySlot && !r.loaded[layerExpert{layer, e}] {
				list = append(list, rankapi.WeightsID{Rank: mapswitch.RankID(r.id), Layer: layer, Expert: e})
			}
		}
	}
	return list
}

func (g *RankGroup) answer(r *replicaRanks) rankapi.Response {
	a := rankapi.Response{Session: r.session}
	for _, rank := range r.ranks {
		a.Ranks = append(a.Ranks, rankapi.RankStatus{State: rank.State(), Missing: g.missing(rank)})
	}
	return a
}

// PutWeights loads the weights of one expert.
func (g *RankGroup) PutWeights(replica int, w rankapi.WeightsID) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.replicas[replica].rank(w.Rank)
	if r == nil || w.Layer < 0 || w.Layer >= g.cfg.Layers || w.Expert < 0 || int(w.Expert) >= g.cfg.Experts {
		return errkind.New(errkind.InvalidRequest, "rank %d, layer %d, expert %d", w.Rank, w.Layer, w.Expert)
	}
	r.loaded[layerExpert{w.Layer, w.Expert}] = true
	g.completeStaging(r)
	return nil
}

// Handler serves the ranks of one replica; see package rankapi. A stalled
// replica still answers, because its command server is not part of the step.
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
			writeError(w, errkind.Wrap(errkind.InvalidRequest, err, "rank commands"))
			return
		}
		g.await(replica, b)
		answer, err := g.ExecuteBatch(replica, b)
		writeResult(w, answer, err)
	})
	mux.HandleFunc("PUT "+rankapi.RanksPath+"/{rank}/weights/{layer}/{expert}", func(w http.ResponseWriter, r *http.Request) {
		g.servePut(replica, w, r)
	})
	return mux
}

func (g *RankGroup) servePut(replica int, w http.ResponseWriter, r *http.Request) {
	var at [3]int
	for i, name := range []string{"rank", "layer", "expert"} {
		n, err := strconv.Atoi(r.PathValue(name))
		if err != nil {
			writeError(w, errkind.Wrap(errkind.InvalidRequest, err, name))
			return
		}
		at[i] = n
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		writeError(w, errkind.Wrap(errkind.InvalidRequest, err, "weights"))
		return
	}
	err := g.PutWeights(replica, rankapi.WeightsID{Rank: mapswitch.RankID(at[0]), Layer: at[1], Expert: experts.Expert(at[2])})
	writeResult(w, struct{}{}, err)
}
