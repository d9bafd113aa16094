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
	// randomHorizon is short, so that each run forgets verdicts many times.
	randomHorizon infra.Offset = 40
)

// TestReadersAgreeAndNothingReverts runs two offices with stale readers, lost
// append answers, duplicates, snapshots, trimming and late readers. It guards
// against readers that disagree at an offset, a second verdict for an ID and
// an accepted change that is undone by someone who has not seen it.
func TestReadersAgreeAndNothingReverts(t *testing.T) {
	list := seeds.ForTest(t, 12)
	var total Stats
	for _, seed := range list {
		w, problem := runWorld(t, seed, ruleSwitches{})
		require.Empty(t, problem, seeds.ReplayCommand(t, "config/table", seed))
		s := w.readers[0].Stats()
		total.Accepted += s.Accepted
		total.Refused += s.Refused
		total.Duplicates += s.Duplicates
		total.Snapshots += s.Snapshots
	}
	t.Logf("%d seeds x %d steps: %+v", len(list), randomSteps, total)
}

// Guards against a randomised test that detects nothing: with a rule switched
// off, most seeds must show a problem.
func TestRandomisedRunDetectsMissingRules(t *testing.T) {
	const seedCount = 8
	for name, rules := range map[string]ruleSwitches{
		"base version": {noBaseCheck: true},
		"duplicate ID": {noDuplicates: true},
		"owner":        {noOwnerCheck: true},
	} {
		t.Run(name, func(t *testing.T) {
			detected, example := 0, ""
			for seed := uint64(1); seed <= seedCount; seed++ {
				if _, problem := runWorld(t, seed, rules); problem != "" {
					detected++
					example = problem
				}
			}
			t.Logf("%d of %d seeds detect it, for example: %s", detected, seedCount, example)
			require.Greater(t, detected, seedCount/2)
		})
	}
}

// world is a log with readers and operators, and the history that the readers'
// verdicts imply.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	rules   ruleSwitches
	log     []infra.Record // log[i] has offset i+1
	oldest  infra.Offset   // lowest retained offset
	sets    []ChangeSet    // every set that was appended, for duplicates
	readers []*State
	digests map[infra.Offset]Digest
	// verdicts is the first verdict of each ID, current the version that the
	// accepted changes imply for each row.
	verdicts map[string]Verdict
	current  map[Key]Entry
	nextID   int
	problem  string
}

func runWorld(t *testing.T, seed uint64, rules ruleSwitches) (*world, string) {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 0)), rules: rules, oldest: 1,
		digests: make(map[infra.Offset]Digest), verdicts: make(map[string]Verdict), current: make(map[Key]Entry),
	}
	for range 4 {
		w.readers = append(w.readers, w.newFold())
	}
	for range randomSteps {
		w.step()
		if w.problem != "" {
			return w, w.problem
		}
	}
	for i := range w.readers {
		w.advance(i, len(w.log))
	}
	return w, w.problem
}

func (w *world) newFold() *State {
	f := newFold(randomHorizon)
	f.rules = w.rules
	return f
}

func (w *world) fail(format string, args ...any) {
	if w.problem == "" {
		w.problem = fmt.Sprintf(format, args...)
	}
}

func (w *world) step() {
	reader := w.rng.IntN(len(w.readers))
	switch w.rng.IntN(12) {
	case 0:
		w.appendSnapshot(w.readers[reader])
	case 1:
		w.trim()
	case 2:
		w.restartReader(1 + w.rng.IntN(len(w.readers)-1))
	case 3:
		w.duplicate()
	case 4, 5, 6:
		w.publish(w.readers[reader])
	default:
		w.advance(reader, 1+w.rng.IntN(6))
	}
}

func (w *world) append(data []byte) {
	w.log = append(w.log, infra.Record{Offset: infra.Offset(len(w.log) + 1), Data: data})
	// Reader 0 is the reference: it never restarts and never lags.
	w.advance(0, 1)
}

func (w *world) appendSet(s ChangeSet) {
	w.sets = append(w.sets, s)
	w.append(record(w.t, 0, s).Data)
}

// publish appends a set that an operator made from a reader that may lag. The
// answer may be lost before or after the append; the operator then sends the
// same set again.
func (w *world) publish(reader *State) {
	w.nextID++
	s := w.randomSet(reader, fmt.Sprintf("id-%d", w.nextID))
	if w.rng.IntN(5) > 0 {
		w.appendSet(s)
	}
	if w.rng.IntN(4) == 0 {
		w.appendSet(s)
	}
}

// duplicate sends any earlier set again, as a request that was stuck would be.
func (w *world) duplicate() {
	if len(w.sets) > 0 {
		w.append(record(w.t, 0, w.sets[w.rng.IntN(len(w.sets))]).Data)
	}
}

func (w *world) appendSnapshot(f *State) {
	data, err := f.Snapshot()
	require.NoError(w.t, err)
	w.append(data)
}

// trim drops records up to the newest snapshot that a new reader can start from.
func (w *world) trim() {
	for i := len(w.log) - 1; i >= int(w.oldest); i-- {
		if covered, ok := SnapshotOffset(w.log[i].Data); ok && covered+1 >= w.oldest {
			w.oldest = covered + 1
			return
		}
	}
}

// restartReader replaces a reader by one that starts from any usable snapshot
// in the log, or from a peer's snapshot if the log has none.
func (w *world) restartReader(i int) {
	var usable [][]byte
	for _, r := range w.log[w.oldest-1:] {
		if covered, ok := SnapshotOffset(r.Data); ok && covered+1 >= w.oldest {
			usable = append(usable, r.Data)
		}
	}
	if len(usable) == 0 || w.rng.IntN(3) == 0 {
		data, err := w.readers[w.rng.IntN(len(w.readers))].Snapshot()
		require.NoError(w.t, err)
		usable = [][]byte{data}
	}
	f, err := restore(usable[w.rng.IntN(len(usable))], randomHorizon)
	require.NoError(w.t, err)
	f.rules = w.rules
	w.readers[i] = f
	w.checkDigest(f)
}

// advance applies up to n records and sometimes an old one again.
func (w *world) advance(i, n int) {
	f := w.readers[i]
	if f.Offset() > 0 && w.rng.IntN(8) == 0 {
		before := f.Digest()
		f.Apply(w.log[w.rng.IntN(int(f.Offset()))])
		if f.Digest() != before {
			w.fail("a record that was read again changed the state at offset %d", f.Offset())
		}
	}
	for ; n > 0 && int(f.Offset()) < len(w.log); n-- {
		r := w.log[f.Offset()]
		v := f.Apply(r)
		if f.Offset() != r.Offset {
			w.fail("offset %d after record %d", f.Offset(), r.Offset)
			return
		}
		if i == 0 {
			w.checkVerdict(r, v)
		}
		w.checkDigest(f)
	}
}

func (w *world) checkDigest(f *State) {
	own := f.Digest()
	if first, ok := w.digests[f.Offset()]; ok && first != own {
		w.fail("two readers disagree at offset %d", f.Offset())
	}
	w.digests[f.Offset()] = own
	if f.Stats().SnapshotMismatches > 0 {
		w.fail("snapshot mismatch at offset %d", f.Offset())
	}
}

// checkVerdict follows the accepted changes without the rules of the fold: the
// author of each change must have seen the row that the change replaces.
func (w *world) checkVerdict(r infra.Record, v Verdict) {
	if RecordType(r.Data) != TypeChangeSet {
		return
	}
	s, err := DecodeChangeSet(r.Data)
	require.NoError(w.t, err)
	if first, ok := w.verdicts[s.ID]; ok {
		forgotten := first.Offset+randomHorizon < r.Offset
		if first.Outcome == OutcomeAccepted && v.Outcome == OutcomeAccepted && v.Offset != first.Offset {
			w.fail("set %s accepted at offsets %d and %d", s.ID, first.Offset, v.Offset)
		}
		if !forgotten && (v.Offset != first.Offset || v.Outcome != first.Outcome) {
			w.fail("set %s: verdict %s at offset %d, first verdict %s at %d", s.ID, v.Outcome, v.Offset, first.Outcome, first.Offset)
		}
		return
	}
	w.verdicts[s.ID] = v
	if v.Outcome == OutcomeAccepted {
		w.checkAccepted(r.Offset, s)
	}
}

func (w *world) checkAccepted(offset infra.Offset, s ChangeSet) {
	for _, c := range s.Changes {
		now := w.current[c.Key]
		if c.BaseVersion != now.Version {
			w.fail("set %s at offset %d replaces version %d of %s, which its author has not seen (base %d)", s.ID, offset, now.Version, c.Key, c.BaseVersion)
		}
		if now.Version != 0 && now.Row.Office != s.Office {
			w.fail("office %s changed a row of office %s at offset %d", s.Office, now.Row.Office, offset)
		}
		if c.Row == nil {
			delete(w.current, c.Key)
			continue
		}
		w.current[c.Key] = Entry{Row: *c.Row, Version: offset}
	}
	entries := w.readers[0].entries
	if len(entries) != len(w.current) {
		w.fail("the fold has %d rows at offset %d, the accepted changes give %d", len(entries), offset, len(w.current))
	}
	for key, want := range w.current {
		if got := entries[key]; got.Version != want.Version || !equalRows(got.Row, want.Row) {
			w.fail("row %s at offset %d differs from the accepted changes", key, offset)
		}
	}
}

// randomSet changes a few rows as an operator of a random office sees them.
func (w *world) randomSet(reader *State, id string) ChangeSet {
	s := ChangeSet{ID: id, Office: []string{"a", "b"}[w.rng.IntN(2)], ReadOffset: reader.Offset()}
	for range 1 + w.rng.IntN(3) {
		c := w.randomChange(s.Office)
		c.BaseVersion = reader.entries[c.Key].Version
		if w.rng.IntN(4) == 0 && c.BaseVersion != 0 {
			c.Row = nil
		}
		s.Changes = append(s.Changes, c)
	}
	return s
}

func (w *world) randomChange(office string) Change {
	n := w.rng.IntN(3)
	// Most rows have the office of their number, so that most sets are valid.
	name := fmt.Sprintf("%s%d", office, n)
	if w.rng.IntN(6) == 0 {
		name = fmt.Sprintf("%s%d", []string{"a", "b"}[w.rng.IntN(2)], n)
	}
	row := Row{Office: office}
	switch w.rng.IntN(3) {
	case 0:
		row.Class = &Class{Name: name, Priority: w.rng.IntN(12), Reserve: float64(w.rng.IntN(4)) / 10}
	case 1:
		row.Organisation = &Organisation{Name: name, KeySHA256: HashAPIKey(fmt.Sprint(w.rng.IntN(20)))}
		if w.rng.IntN(2) == 0 {
			row.Organisation.Class = fmt.Sprintf("a%d", w.rng.IntN(3))
		}
	default:
		row.Limit = &Limit{Organisation: name, InFlight: w.rng.IntN(100)}
	}
	key, _ := row.Key()
	return Change{Key: key, Row: &row}
}
