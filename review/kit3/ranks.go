package kit3

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// GroupShape describes the rank groups of a service.
type GroupShape struct {
	Service string
	// Ranks is the number of ranks of a group. Each of Sets sets of layers has Experts experts, of
	// which a rank has Places at most and SpareCount new ones in a new map.
	Ranks, Sets, Experts, Places, SpareCount int
	// CopyTime is the time to copy an expert, PassTime that of a pass, and FormTime the time in
	// which a group opens after its ranks are back.
	CopyTime, PassTime, FormTime time.Duration
	// OrderTime is the longest time after which a rank takes up an order.
	OrderTime time.Duration
	// ReportLag is the age of the reports that other machines get.
	ReportLag time.Duration
}

// Ranks is a stand-in of the replicas of a service that are ranks of groups, one beside each
// machine, and of the platform that forms the groups.
type Ranks struct {
	shape  GroupShape
	store  *Store
	record *Record

	mu       sync.Mutex
	groups   []*group
	machines []*machine
	// violations are the passes that began with different maps.
	violations []string
	stopped    bool
}

// group is a rank group. Its ranks execute each pass together.
type group struct {
	name     string
	epoch    int64
	open     bool
	opensAt  time.Time
	step     int64
	switches int
	members  []*machine
	// liking says how much each expert of each set is in demand.
	liking []float64
}

// machine has one rank, which may become a rank of another group when it starts anew.
type machine struct {
	host     string
	id       string
	own, far net.Listener
	group    *group
	rank     int
	up       bool
	born     int64
	sequence int64
	state    rankState
	reports  []agedReport
}

type expertMap struct {
	version int64
	lists   [][][]int32
}

type armedStep struct {
	Version int64 `json:"version"`
	Step    int64 `json:"step"`
}

type rankState struct {
	highest, held, fence, orders int64
	inForce                      expertMap
	prepared, copying            *expertMap
	copiedAt                     time.Time
	armed                        *armedStep
	counts                       []int64
}

type agedReport struct {
	at   time.Time
	body []byte
}

// NewRanks starts the ranks of as many groups as names are given. host returns the host of a
// machine by its number.
func NewRanks(store *Store, record *Record, shape GroupShape, names []string, host func(int) string) (*Ranks, error) {
	s := &Ranks{shape: shape, store: store, record: record}
	for _, name := range names {
		g := &group{name: name, open: true, liking: make([]float64, shape.Sets*shape.Experts)}
		for i := range g.liking {
			g.liking[i] = newLiking()
		}
		s.groups = append(s.groups, g)
		for rank := range shape.Ranks {
			m := &machine{host: host(len(s.machines)), id: fmt.Sprintf("i-%d", len(s.machines)), group: g, rank: rank, up: true}
			m.born = time.Now().UnixMilli()
			m.state = s.newState()
			g.members = append(g.members, m)
			s.machines = append(s.machines, m)
			if err := s.serve(m); err != nil {
				return nil, err
			}
		}
	}
	for _, m := range s.machines {
		go s.register(m)
	}
	for _, g := range s.groups {
		go s.run(g)
	}
	return s, nil
}

// serve listens at two addresses: fresh reports are for the own machine only.
func (s *Ranks) serve(m *machine) error {
	for _, fresh := range []bool{true, false} {
		l, err := net.Listen("tcp4", net.JoinHostPort(m.host, "0"))
		if err != nil {
			return err
		}
		if fresh {
			m.own = l
		} else {
			m.far = l
		}
		server := &http.Server{Handler: s.handler(m, fresh), ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(l) }()
	}
	return nil
}

func (s *Ranks) newState() rankState {
	lists := make([][][]int32, s.shape.Sets)
	for set := range lists {
		lists[set] = make([][]int32, s.shape.Ranks)
		for e := range s.shape.Experts {
			r := e % s.shape.Ranks
			lists[set][r] = append(lists[set][r], int32(e))
		}
	}
	return rankState{inForce: expertMap{lists: lists}, counts: make([]int64, s.shape.Sets*s.shape.Experts)}
}

// Host returns the host of a machine, and OwnAddress the address of its rank for itself.
func (s *Ranks) Host(n int) string { return s.machines[n].host }

// OwnAddress returns the address of a rank for its own machine.
func (s *Ranks) OwnAddress(n int) string { return s.machines[n].own.Addr().String() }

// Stop ends the passes and the registrations.
func (s *Ranks) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}

// Violations returns the passes that began with different maps.
func (s *Ranks) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

// Switches returns how often a group has changed its map.
func (s *Ranks) Switches(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.groups[n].switches
}

// Shift lets other experts be in demand: a share of what is liked changes, in all groups.
func (s *Ranks) Shift(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		for i := range g.liking {
			if rand.Float64() < share {
				g.liking[i] = newLiking()
			}
		}
	}
}

// newLiking returns the demand of an expert: a few are in much more demand than the others.
func newLiking() float64 {
	const spread = 1.3
	return math.Exp(spread * rand.NormFloat64())
}

// Crash ends the replicas of two machines. Their groups are broken.
func (s *Ranks) Crash(numbers ...int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range numbers {
		m := s.machines[n]
		m.up, m.group.open = false, false
		s.record.Now("%s crashes: rank %d of group %s", m.id, m.rank, m.group.name)
	}
}

// Return starts the replicas of two machines again, which knows nothing of before. If swapped is
// set, each becomes the rank that the other one was. The groups open in a new epoch.
func (s *Ranks) Return(a, b int, swapped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, y := s.machines[a], s.machines[b]
	if swapped {
		x.group, y.group = y.group, x.group
		x.rank, y.rank = y.rank, x.rank
		x.group.members[x.rank], y.group.members[y.rank] = x, y
	}
	for _, m := range []*machine{x, y} {
		m.up, m.born, m.sequence, m.state, m.reports = true, time.Now().UnixMilli(), 0, s.newState(), nil
		m.group.opensAt = time.Now().Add(s.shape.FormTime)
		s.record.Now("%s is back: rank %d of group %s", m.id, m.rank, m.group.name)
	}
}

// register writes the entry of a machine each heartbeat while its replica runs.
func (s *Ranks) register(m *machine) {
	for {
		s.mu.Lock()
		m.sequence++
		value, err := json.Marshal(map[string]any{
			"service": s.shape.Service, "address": m.far.Addr().String(), "zone": "z1", "version": "v1", "slots": 8, "state": "ready",
			"coldRemainingMs": 0, "sequence": m.sequence, "born": m.born, "phase": "unified", "group": m.place(), "size": s.shape.Ranks,
		})
		up, stopped := m.up, s.stopped
		s.mu.Unlock()
		if stopped || err != nil {
			return
		}
		if up {
			s.store.Put("keyed.servers", m.id, value)
		}
		time.Sleep(heartbeat)
	}
}

func (m *machine) place() map[string]any {
	state := "broken"
	if m.group.open {
		state = "open"
	}
	return map[string]any{"name": m.group.name, "epoch": m.group.epoch, "rank": m.rank, "state": state}
}

// run executes the passes of a group.
func (s *Ranks) run(g *group) {
	for {
		time.Sleep(s.shape.PassTime)
		s.mu.Lock()
		if s.stopped {
			s.mu.Unlock()
			return
		}
		s.openIfDue(g)
		if g.open {
			s.pass(g)
		}
		s.mu.Unlock()
	}
}

func (s *Ranks) openIfDue(g *group) {
	down := slices.ContainsFunc(g.members, func(m *machine) bool { return !m.up })
	if g.open || down || time.Now().Before(g.opensAt) {
		return
	}
	g.open = true
	g.epoch++
	for _, m := range g.members {
		fence, highest, orders, counts := m.state.fence, m.state.highest, m.state.orders, m.state.counts
		m.state = s.newState()
		m.state.fence, m.state.highest, m.state.orders, m.state.counts = fence, highest, orders, counts
	}
	s.record.Now("group %s opens in epoch %d with map 0", g.name, g.epoch)
}

// pass begins a pass, unless a rank holds the group, and checks that all ranks have one map.
func (s *Ranks) pass(g *group) {
	now := time.Now()
	next := g.step + 1
	for _, m := range g.members {
		m.state.finishCopy(now)
		if m.state.held == next {
			return
		}
	}
	g.step = next
	switched := 0
	for _, m := range g.members {
		if a := m.state.armed; a != nil && a.Step == next {
			m.state.inForce, m.state.prepared, m.state.armed = *m.state.prepared, nil, nil
			switched++
		}
		s.count(g, m)
	}
	if switched > 0 {
		g.switches++
		s.record.Now("group %s: %d ranks switch to map %d as pass %d begins", g.name, switched, g.members[0].state.inForce.version, next)
	}
	s.check(g)
}

// count adds the choices of experts by the tokens of one pass. The tokens of a request choose
// similar experts, so the choices vary from pass to pass.
func (s *Ranks) count(g *group, m *machine) {
	const tokens, spread = 20, 0.8
	for i := range m.state.counts {
		m.state.counts[i] += int64(tokens * g.liking[i] * math.Exp(spread*rand.NormFloat64()))
	}
}

func (s *Ranks) check(g *group) {
	first := g.members[0].state.inForce
	for _, m := range g.members[1:] {
		other := m.state.inForce
		if other.version == first.version && sameLists(other.lists, first.lists) {
			continue
		}
		v := fmt.Sprintf("pass %d of group %s begins: rank 0 has map %d, rank %d has map %d, same content: %v",
			g.step, g.name, first.version, m.rank, other.version, sameLists(other.lists, first.lists))
		s.violations = append(s.violations, v)
		s.record.Now("BROKEN: %s", v)
		return
	}
}

func sameLists(a, b [][][]int32) bool {
	return slices.EqualFunc(a, b, func(x, y [][]int32) bool { return slices.EqualFunc(x, y, slices.Equal[[]int32]) })
}

func (r *rankState) finishCopy(now time.Time) {
	if r.copying != nil && !now.Before(r.copiedAt) {
		r.prepared, r.copying = r.copying, nil
	}
}

func (s *Ranks) handler(m *machine, fresh bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", func(w http.ResponseWriter, _ *http.Request) { s.serveReport(w, m, fresh) })
	mux.HandleFunc("GET /api/picked", func(w http.ResponseWriter, r *http.Request) { s.servePicked(w, m, r.URL.Query().Has("lists")) })
	mux.HandleFunc("POST /api/order", func(w http.ResponseWriter, r *http.Request) { s.serveOrder(w, r, m) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		up := m.up
		s.mu.Unlock()
		if !up {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Ranks) serveReport(w http.ResponseWriter, m *machine, fresh bool) {
	s.mu.Lock()
	now := time.Now()
	m.state.finishCopy(now)
	var preloaded, held any
	if m.state.prepared != nil {
		preloaded = m.state.prepared.version
	}
	if m.state.held > 0 {
		held = m.state.held
	}
	body, err := json.Marshal(map[string]any{
		"phase": "unified", "busy": false, "sequence": m.state.orders, "queued": 0, "active": 4, "kvInUse": 0, "kvCapacityTotal": 90000,
		"cacheHandles": 0, "born": m.born, "pace": 1.0, "size": s.shape.Ranks, "group": m.place(),
		"step": m.group.step, "mapping": m.state.inForce.version, "preloaded": preloaded, "enabled": m.state.armed, "held": held,
	})
	if !fresh {
		m.reports = append(m.reports, agedReport{now, body})
		for len(m.reports) > 1 && now.Sub(m.reports[1].at) >= s.shape.ReportLag {
			m.reports = m.reports[1:]
		}
		body = m.reports[0].body
	}
	s.mu.Unlock()
	writeBody(w, body, err)
}

func (s *Ranks) servePicked(w http.ResponseWriter, m *machine, lists bool) {
	s.mu.Lock()
	answer := map[string]any{"step": m.group.step, "epoch": m.group.epoch}
	if lists {
		own := make([][]int32, s.shape.Sets)
		for set := range own {
			own[set] = m.state.inForce.lists[set][m.rank]
		}
		answer["mapping"] = map[string]any{"version": m.state.inForce.version, "experts": own}
	} else {
		answer["counts"] = m.state.counts
	}
	body, err := json.Marshal(answer)
	s.mu.Unlock()
	writeBody(w, body, err)
}

func writeBody(w http.ResponseWriter, body []byte, err error) {
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

type order struct {
	Operation    string      `json:"operation"`
	FencingToken *int64      `json:"fencingToken"`
	Epoch        *int64      `json:"epoch"`
	Version      int64       `json:"version"`
	Step         int64       `json:"step"`
	Mapping      [][][]int32 `json:"mapping"`
}

func (s *Ranks) serveOrder(w http.ResponseWriter, req *http.Request, m *machine) {
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(rand.N(s.shape.OrderTime))
	s.mu.Lock()
	status := s.carryOut(m, o)
	fence := int64(0)
	if o.FencingToken != nil {
		fence = *o.FencingToken
	}
	s.record.Now("rank %d of group %s: %s version %d step %d fence %d, answered %d", m.rank, m.group.name, o.Operation, o.Version, o.Step, fence, status)
	s.mu.Unlock()
	w.WriteHeader(status)
}

// carryOut carries an order out and returns the status of its answer.
func (s *Ranks) carryOut(m *machine, o order) int {
	r := &m.state
	r.finishCopy(time.Now())
	if o.Epoch != nil && *o.Epoch != m.group.epoch || !m.group.open {
		return http.StatusConflict
	}
	if o.FencingToken != nil && *o.FencingToken < r.fence {
		return http.StatusPreconditionFailed
	}
	if o.FencingToken != nil {
		r.fence = *o.FencingToken
	}
	step := m.group.step
	switch o.Operation {
	case "prepare":
		return s.prepare(m, o)
	case "arm":
		if r.prepared == nil || r.prepared.version != o.Version || o.Step <= step {
			return http.StatusConflict
		}
		r.armed = &armedStep{o.Version, o.Step}
		return http.StatusAccepted
	case "disarm":
		if r.inForce.version == o.Version {
			return http.StatusConflict
		}
		if r.armed != nil && r.armed.Version == o.Version {
			r.armed = nil
		}
		return http.StatusOK
	case "retention":
		if o.Step <= step || r.held > step && r.held != o.Step {
			return http.StatusConflict
		}
		r.held = o.Step
		return http.StatusAccepted
	case "go":
		if r.held == o.Step {
			r.held = 0
		}
		return http.StatusOK
	default:
		return http.StatusBadRequest
	}
}

func (s *Ranks) prepare(m *machine, o order) int {
	r := &m.state
	if o.Version <= r.highest || r.armed != nil {
		return http.StatusConflict
	}
	if len(o.Mapping) != s.shape.Sets {
		return http.StatusBadRequest
	}
	added := 0
	for set, lists := range o.Mapping {
		if len(lists) != s.shape.Ranks || len(lists[m.rank]) > s.shape.Places {
			return http.StatusBadRequest
		}
		inSet := 0
		for _, e := range lists[m.rank] {
			if !slices.Contains(r.inForce.lists[set][m.rank], e) {
				inSet++
			}
		}
		if inSet > s.shape.SpareCount {
			return http.StatusConflict
		}
		added += inSet
	}
	r.highest = o.Version
	r.orders++
	r.prepared, r.copying = nil, &expertMap{o.Version, o.Mapping}
	r.copiedAt = time.Now().Add(time.Duration(added) * s.shape.CopyTime)
	return http.StatusAccepted
}

// ConfigOfGroups returns a desired state with a route to the groups.
func ConfigOfGroups(version int, g GroupShape) ([]byte, error) {
	var c map[string]any
	route := NewRoute("chat", "/chat/", "streaming", g.Service)
	if err := json.Unmarshal(Config(version, []Route{route}, map[string][]string{"ta": {"ka"}}, g.Service), &c); err != nil {
		return nil, err
	}
	c["routes"].([]any)[0].(map[string]any)["targetGapMs"] = 120
	c["services"].([]any)[0].(map[string]any)["runtime"] = map[string]any{
		"slots": 12, "kvCapacity": 372000, "stride": 5, "step_ms": 5.85, "per_seq_ms": 0.355, "context_per_k": 0.036, "read_per_s": 61200.0,
		"chunk": 512, "sets": g.Sets, "experts": g.Experts, "placements": g.Places, "spareCount": g.SpareCount, "expertMb": 780.0,
		"linkMbps": 44000.0, "expertFraction": 0.85, "form_ms": g.FormTime.Milliseconds(), "usual": map[string]int{"prompt": 835, "answer": 139},
	}
	return json.Marshal(c)
}
