package rankagent

import (
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/mapdelta"
)

// maxSentMaps is the number of maps that a holder keeps as bases of later changes.
const maxSentMaps = 4

// initialVersion is the version of the initial map of a group.
const initialVersion = 0

// mapSender encodes expert maps for the agents of a group: as the changes of a map that
// the agent has, or whole. All agents with the same base get the same encoding, which is
// made once. It is not safe for concurrent use.
type mapSender struct {
	// sent holds the last maps that were sent, by version, and versions their versions
	// in that order.
	sent     map[int64]*sentMap
	versions []int64
	// known is the version of the map that each agent has, by rank.
	known map[int]int64
	// acceptsChanges holds the ranks whose agents accept changes of a map.
	acceptsChanges map[int]bool
}

// sentMap is a map with its encodings.
type sentMap struct {
	// source is the planned map that the lists were derived from, or nil.
	source *experts.Map
	layers mapdelta.Map
	digest uint64
	// whole holds the lists as an order carries them, or nil before their first use.
	whole []*pb.RankExperts
	// changes holds the map as changes, by the version of their base.
	changes map[int64]*mapChanges
}

// mapChanges is a map as changes of a base.
type mapChanges struct {
	// base is nil for the initial map.
	base   *sentMap
	packed []byte
	// count is the number of changes.
	count int
}

func newMapSender() *mapSender {
	return &mapSender{sent: make(map[int64]*sentMap), known: make(map[int]int64), acceptsChanges: make(map[int]bool)}
}

// observe records which maps the agents have.
func (s *mapSender) observe(responses []*pb.ReadRankResponse) {
	for _, r := range responses {
		s.known[int(r.GetRank())] = r.GetKnownMap()
		s.acceptsChanges[int(r.GetRank())] = r.GetAcceptsChanges()
	}
}

// lists returns the experts of a planned map by layer and rank, and records it as a map
// that is about to be sent. A version may stand for another map in a later epoch.
func (s *mapSender) lists(t *experts.Topology, version int64, m *experts.Map) mapdelta.Map {
	if known, ok := s.sent[version]; ok && known.source == m {
		return known.layers
	}
	layers := expertLists(t, m)
	s.add(version, layers)
	s.sent[version].source = m
	return layers
}

// add records a map that is about to be sent.
func (s *mapSender) add(version int64, m mapdelta.Map) {
	if _, ok := s.sent[version]; !ok {
		s.versions = append(s.versions, version)
	}
	s.sent[version] = &sentMap{layers: m, digest: m.Digest(), changes: make(map[int64]*mapChanges)}
	if len(s.versions) > maxSentMaps {
		delete(s.sent, s.versions[0])
		s.versions = s.versions[1:]
	}
}

// encode adds the map of a version to an order for a rank.
func (s *mapSender) encode(m *pb.OrderRankRequest, rank int, version int64) {
	target := s.sent[version]
	m.MapDigest = target.digest
	m.Layers, m.Ranks = uint32(len(target.layers)), uint32(len(target.layers[0]))
	if s.acceptsChanges[rank] && s.encodeChanges(m, rank, target) {
		return
	}
	m.LayersRanks = target.wholeLists()
}

// encodeChanges gives a map as changes of the last one that the agent of a rank has, or
// else of the initial map, which follows from the size of the group. It returns false if
// the whole map takes less.
func (s *mapSender) encodeChanges(m *pb.OrderRankRequest, rank int, target *sentMap) bool {
	known := s.known[rank]
	base, ok := s.sent[known]
	if !ok {
		known = initialVersion
	}
	changes, err := target.changesOf(known, base)
	if err != nil {
		return false // can't happen: a planned map has a valid size
	}
	if !ok && changes.count > target.layers.Len()/2 {
		return false
	}
	if ok {
		m.BaseVersion, m.BaseDigest = known, base.digest
	} else {
		m.LayerExperts = uint32(target.layers.LayerExperts())
	}
	m.HasChanges, m.Changes = true, changes.packed
	return true
}

// changesOf returns the map as changes of a base with the given version, or of the initial
// map if base is nil.
func (m *sentMap) changesOf(version int64, base *sentMap) (*mapChanges, error) {
	if known := m.changes[version]; known != nil && known.base == base {
		return known, nil
	}
	var layers mapdelta.Map
	if base != nil {
		layers = base.layers
	} else {
		var err error
		if layers, err = mapdelta.Initial(len(m.layers), len(m.layers[0]), m.layers.LayerExperts()); err != nil {
			return nil, err
		}
	}
	changes := mapdelta.Diff(layers, m.layers)
	m.changes[version] = &mapChanges{base: base, packed: mapdelta.Pack(layers, changes), count: len(changes)}
	return m.changes[version], nil
}

// wholeLists returns the lists of all layers and ranks as an order carries them.
func (m *sentMap) wholeLists() []*pb.RankExperts {
	if m.whole == nil {
		for _, layer := range m.layers {
			for _, list := range layer {
				m.whole = append(m.whole, &pb.RankExperts{Experts: list})
			}
		}
	}
	return m.whole
}

// expertLists converts a map to the experts of each layer and rank.
func expertLists(t *experts.Topology, m *experts.Map) mapdelta.Map {
	lists := make(mapdelta.Map, len(m.Layers))
	for i, layer := range m.Layers {
		for rank := range t.Ranks() {
			lists[i] = append(lists[i], expertsOfRank(t, layer, rank))
		}
	}
	lists.Sort()
	return lists
}
