package table

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/internal/seeds"
)

const (
	randomSteps = 400
	// randomHistoryWindow is short, so that verdicts expire many times in a run.
	randomHistoryWindow infra.Offset = 40
)

// TestReadersAgreeAndNothingReverts simulates two offices that publish from
// lagging readers, with lost append responses, duplicate records, snapshots, a
// log that is trimmed and readers that restart. It guards against readers that
// disagree at an offset, against two verdicts on one ID, and against an accepted
// change that is overwritten by a publisher who has not seen it.
func TestReadersAgreeAndNothingReverts(t *testing.T) {
	list := seeds.ForTest(t, 12)
	var total Stats
	for _, seed := range list {
		sim, violation := runSimulation(t, seed, disabledRules{})
		require.Empty(t, violation, seeds.ReplayCommand(t, "config/table", seed))
		stats := sim.readers[0].Stats()
		total.Accepted += stats.Accepted
		total.Refused += stats.Refused
		total.Duplicates += stats.Duplicates
		total.Snapshots += stats.Snapshots
	}
	t.Logf("%d seeds x %d steps: %+v", len(list), randomSteps, total)
}

// Guards against a simulation that detects no faults: with a check disabled, most
// seeds must show a violation.
func TestSimulationDetectsDisabledRules(t *testing.T) {
	const seedCount = 8
	for name, rules := range map[string]disabledRules{
		"base version": {baseCheck: true},
		"duplicate ID": {duplicateCheck: true},
		"owner":        {ownerCheck: true},
	} {
		t.Run(name, func(t *testing.T) {
			detected, example := 0, ""
			for seed := uint64(1); seed <= seedCount; seed++ {
				if _, violation := runSimulation(t, seed, rules); violation != "" {
					detected++
					example = violation
				}
			}
			t.Logf("%d of %d seeds detect it, for example: %s", detected, seedCount, example)
			require.Greater(t, detected, seedCount/2)
		})
	}
}

// simulation is a log with its readers and publishers, and the table that the
// verdicts imply.
type simulation struct {
	t        *testing.T
	rng      *rand.Rand
	disabled disabledRules
	log      []infra.Record // log[i] has offset i+1
	oldest   infra.Offset   // lowest retained offset
	sets     []ChangeSet    // all appended sets, from which duplicates are drawn
	readers  []*State
	digests  map[infra.Offset]Digest
	// verdicts holds the first verdict on each ID, expected the rows that result
	// from the accepted changes.
	verdicts  map[string]Verdict
	expected  map[Key]Entry
	nextID    int
	violation string
}

func runSimulation(t *testing.T, seed uint64, rules disabledRules) (*simulation, string) {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 0)), disabled: rules, oldest: 1,
		digests: make(map[infra.Offset]Digest), verdicts: make(map[string]Verdict), expected: make(map[Key]Entry),
	}
	for range 4 {
		sim.readers = append(sim.readers, sim.newState())
	}
	for range randomSteps {
		sim.step()
		if sim.violation != "" {
			return sim, sim.violation
		}
	}
	for i := range sim.readers {
		sim.advance(i, len(sim.log))
	}
	return sim, sim.violation
}

func (sim *simulation) newState() *State {
	state := newState(randomHistoryWindow)
	state.disabled = sim.disabled
	return state
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

func (sim *simulation) step() {
	reader := sim.rng.IntN(len(sim.readers))
	switch sim.rng.IntN(12) {
	case 0:
		sim.appendSnapshot(sim.readers[reader])
	case 1:
		sim.trim()
	case 2:
		sim.restartReader(1 + sim.rng.IntN(len(sim.readers)-1))
	case 3:
		sim.duplicate()
	case 4, 5, 6:
		sim.publish(sim.readers[reader])
	default:
		sim.advance(reader, 1+sim.rng.IntN(6))
	}
}

func (sim *simulation) append(data []byte) {
	sim.log = append(sim.log, infra.Record{Offset: infra.Offset(len(sim.log) + 1), Data: data})
	// Reader 0 is the reference: it never restarts and applies each record at
	// once.
	sim.advance(0, 1)
}

func (sim *simulation) appendSet(set ChangeSet) {
	sim.sets = append(sim.sets, set)
	sim.append(changeSetRecord(sim.t, 0, set).Data)
}

// publish appends a set that an operator made from a reader that may lag. The
// request or its response may be lost; the operator then appends the same set
// again.
func (sim *simulation) publish(reader *State) {
	sim.nextID++
	set := sim.randomSet(reader, fmt.Sprintf("id-%d", sim.nextID))
	if sim.rng.IntN(5) > 0 {
		sim.appendSet(set)
	}
	if sim.rng.IntN(4) == 0 {
		sim.appendSet(set)
	}
}

// duplicate appends an earlier set again, as a delayed request would.
func (sim *simulation) duplicate() {
	if len(sim.sets) > 0 {
		sim.append(changeSetRecord(sim.t, 0, sim.sets[sim.rng.IntN(len(sim.sets))]).Data)
	}
}

func (sim *simulation) appendSnapshot(reader *State) {
	data, err := reader.Snapshot()
	require.NoError(sim.t, err)
	sim.append(data)
}

// trim drops the records that a reader starting from the newest usable snapshot
// does not need.
func (sim *simulation) trim() {
	for i := len(sim.log) - 1; i >= int(sim.oldest); i-- {
		if covered, ok := SnapshotOffset(sim.log[i].Data); ok && covered+1 >= sim.oldest {
			sim.oldest = covered + 1
			return
		}
	}
}

// restartReader replaces a reader by one that starts from any usable snapshot
// in the log, or from a peer's snapshot if the log has none.
func (sim *simulation) restartReader(i int) {
	var usable [][]byte
	for _, r := range sim.log[sim.oldest-1:] {
		if covered, ok := SnapshotOffset(r.Data); ok && covered+1 >= sim.oldest {
			usable = append(usable, r.Data)
		}
	}
	if len(usable) == 0 || sim.rng.IntN(3) == 0 {
		data, err := sim.readers[sim.rng.IntN(len(sim.readers))].Snapshot()
		require.NoError(sim.t, err)
		usable = [][]byte{data}
	}
	reader, err := restore(usable[sim.rng.IntN(len(usable))], randomHistoryWindow)
	require.NoError(sim.t, err)
	reader.disabled = sim.disabled
	sim.readers[i] = reader
	sim.checkDigest(reader)
}

// advance applies up to n records, and sometimes an old record again.
func (sim *simulation) advance(i, n int) {
	reader := sim.readers[i]
	if reader.Offset() > 0 && sim.rng.IntN(8) == 0 {
		before := reader.Digest()
		reader.Apply(sim.log[sim.rng.IntN(int(reader.Offset()))])
		if reader.Digest() != before {
			sim.fail("a record that was applied again changed the state at offset %d", reader.Offset())
		}
	}
	for ; n > 0 && int(reader.Offset()) < len(sim.log); n-- {
		r := sim.log[reader.Offset()]
		v := reader.Apply(r)
		if reader.Offset() != r.Offset {
			sim.fail("offset %d after record %d", reader.Offset(), r.Offset)
			return
		}
		if i == 0 {
			sim.checkVerdict(r, v)
		}
		sim.checkDigest(reader)
	}
}

func (sim *simulation) checkDigest(reader *State) {
	digest := reader.Digest()
	if first, ok := sim.digests[reader.Offset()]; ok && first != digest {
		sim.fail("two readers disagree at offset %d", reader.Offset())
	}
	sim.digests[reader.Offset()] = digest
	if reader.Stats().SnapshotMismatches > 0 {
		sim.fail("snapshot mismatch at offset %d", reader.Offset())
	}
}

// checkVerdict tracks the accepted changes independently of the checks of State:
// the publisher of each change must have seen the row that the change replaces.
func (sim *simulation) checkVerdict(r infra.Record, v Verdict) {
	if !IsChangeSet(RecordType(r.Data)) {
		return
	}
	set, err := DecodeChangeSet(r.Data)
	require.NoError(sim.t, err)
	if first, ok := sim.verdicts[set.ID]; ok {
		expired := first.Offset+randomHistoryWindow < r.Offset
		if first.Outcome == OutcomeAccepted && v.Outcome == OutcomeAccepted && v.Offset != first.Offset {
			sim.fail("set %s accepted at offsets %d and %d", set.ID, first.Offset, v.Offset)
		}
		if !expired && (v.Offset != first.Offset || v.Outcome != first.Outcome) {
			sim.fail("set %s: verdict %s at offset %d, first verdict %s at %d", set.ID, v.Outcome, v.Offset, first.Outcome, first.Offset)
		}
		return
	}
	sim.verdicts[set.ID] = v
	if v.Outcome == OutcomeAccepted {
		sim.checkAccepted(r.Offset, set)
	}
}

func (sim *simulation) checkAccepted(offset infra.Offset, set ChangeSet) {
	for _, c := range set.Changes {
		before := sim.expected[c.Key]
		if c.BaseVersion != before.Version {
			sim.fail("set %s at offset %d replaces version %d of %s, which its publisher has not seen (base version %d)", set.ID, offset, before.Version, c.Key, c.BaseVersion)
		}
		if before.Version != 0 && before.Row.Office != set.Office {
			sim.fail("office %s changed a row of office %s at offset %d", set.Office, before.Row.Office, offset)
		}
		if c.Row == nil {
			delete(sim.expected, c.Key)
			continue
		}
		sim.expected[c.Key] = Entry{Row: *c.Row, Version: offset}
	}
	entries := sim.readers[0].entries
	if len(entries) != len(sim.expected) {
		sim.fail("the state has %d rows at offset %d, the accepted changes give %d", len(entries), offset, len(sim.expected))
	}
	for key, want := range sim.expected {
		if got := entries[key]; got.Version != want.Version || !equalRows(got.Row, want.Row) {
			sim.fail("row %s at offset %d differs from the accepted changes", key, offset)
		}
	}
}

// randomSet changes a few rows of a random office, based on the state of the
// given reader.
func (sim *simulation) randomSet(reader *State, id string) ChangeSet {
	set := ChangeSet{ID: id, Office: []string{"a", "b"}[sim.rng.IntN(2)], ReadOffset: reader.Offset()}
	for range 1 + sim.rng.IntN(3) {
		c := sim.randomChange(set.Office)
		c.BaseVersion = reader.entries[c.Key].Version
		if sim.rng.IntN(4) == 0 && c.BaseVersion != 0 {
			c.Row = nil
		}
		set.Changes = append(set.Changes, c)
	}
	return set
}

func (sim *simulation) randomChange(office string) Change {
	n := sim.rng.IntN(3)
	// Most names begin with the office that owns them, so that most sets are
	// valid.
	name := fmt.Sprintf("%s%d", office, n)
	if sim.rng.IntN(6) == 0 {
		name = fmt.Sprintf("%s%d", []string{"a", "b"}[sim.rng.IntN(2)], n)
	}
	row := Row{Office: office}
	switch sim.rng.IntN(4) {
	case 0:
		row.Class = &Class{Name: name, Priority: sim.rng.IntN(12), Reserve: float64(sim.rng.IntN(4)) / 10}
	case 1:
		row.Organisation = &Organisation{Name: name, KeySHA256: HashAPIKey(fmt.Sprint(sim.rng.IntN(20)))}
		if sim.rng.IntN(2) == 0 {
			row.Organisation.Class = fmt.Sprintf("a%d", sim.rng.IntN(3))
		}
	case 2:
		row.Evacuation = &Evacuation{FailureDomain: name}
	default:
		row.Limit = &Limit{Organisation: name, InFlight: sim.rng.IntN(100)}
	}
	key, _ := row.Key()
	return Change{Key: key, Row: &row}
}
