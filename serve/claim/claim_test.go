package claim_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/internal/seeds"
	"github.com/filbertmux/filbertmux/serve/claim"
)

// Guards against two runs of an identity, a not_run reply that is wrong or
// becomes wrong later, and a replayed answer that differs from that of the run,
// under all faults of the model.
func TestAtMostOnceUnderFaults(t *testing.T) {
	answers := make(map[string]int)
	runs := 0
	for _, seed := range seeds.ForTest(t, 60) {
		sim := newSimulation(seed, noRule)
		sim.run()
		require.Empty(t, sim.violations, seeds.ReplayCommand(t, "serve/claim", seed))
		for status, n := range sim.answers {
			answers[status] += n
		}
		runs += len(sim.runs)
	}
	t.Logf("runs %d, answers %v", runs, answers)
}

// Guards against a model whose checks can't fail: with any one rule disabled it
// has to find violations.
func TestModelFindsViolations(t *testing.T) {
	for _, disabled := range []modelRule{runOnlyAfterReadBack, lostAppendIsUnknown, missingRecordsAreUnknown, brokenConnectionIsUnknown, refusedCallNeverRuns} {
		violatingSeeds, total := 0, 0
		list := seeds.ForTest(t, 25)
		for _, seed := range list {
			sim := newSimulation(seed, disabled)
			sim.run()
			total += len(sim.violations)
			if len(sim.violations) > 0 {
				violatingSeeds++
			}
		}
		t.Logf("without %q: %d violations in %d of %d seeds", disabled, total, violatingSeeds, len(list))
		require.Positive(t, violatingSeeds, "without %q, first seed %d", disabled, list[0])
	}
}

// Guards against keys that are accepted although they carry no creation time or
// one outside the accepted window.
func TestParseKey(t *testing.T) {
	s, now := claim.DefaultSettings(), time.UnixMilli(1_800_000_000_000)
	at := func(d time.Duration) string { return keyAt(now.Add(d), 1).String() }
	for _, c := range []struct {
		text string
		kind errkind.Kind
	}{
		{"", errkind.MissingIdempotencyKey},
		{"booking-7", errkind.InvalidIdempotencyKey},
		{uuid.NewString(), errkind.InvalidIdempotencyKey},
		{at(s.MaxClockSkew + time.Second), errkind.InvalidIdempotencyKey},
		{at(s.MaxClockSkew - s.KeyWindow - time.Second), errkind.IdempotencyKeyExpired},
	} {
		_, err := claim.ParseKey(c.text, now, s)
		require.NotNil(t, err, c.text)
		require.Equal(t, c.kind, err.Kind, c.text)
	}
	for _, d := range []time.Duration{0, s.MaxClockSkew, s.MaxClockSkew - s.KeyWindow} {
		_, err := claim.ParseKey(at(d), now, s)
		require.Nil(t, err, "%s", d)
	}
}

// Guards against an outcome that is accepted from another incarnation or for
// another claim, and against a reader that stops at a record of a newer version.
func TestIndexSkipsForeignRecords(t *testing.T) {
	s, now := claim.DefaultSettings(), time.UnixMilli(1_800_000_000_000)
	b, key, offset := claim.NewIndex(s), keyAt(now, 1), infra.Offset(0)
	put := func(incarnation string, e claim.Entry) {
		offset++
		e.Seq, e.Organisation, e.Service, e.Key = 1, "org", "svc", key
		data, err := claim.Encode("r", incarnation, []claim.Entry{e})
		require.NoError(t, err)
		b.Apply(infra.Record{Offset: offset, Time: now, Data: data})
	}
	put("a", claim.Entry{Type: claim.EntryClaim})
	put("b", claim.Entry{Type: claim.EntryAbandoned, ClaimOffset: 1})
	put("a", claim.Entry{Type: claim.EntryAbandoned, ClaimOffset: 9})
	put("a", claim.Entry{Type: "transfer", ClaimOffset: 1})
	offset++
	b.Apply(infra.Record{Offset: offset, Time: now, Data: []byte(`{"type":"later"}`)})
	id := claim.Identity{Organisation: "org", Service: "svc", Key: key}
	require.Equal(t, claim.Open, b.View(id, "").Status)
	require.EqualValues(t, 2, b.Skipped())
	put("a", claim.Entry{Type: claim.EntryAbandoned, ClaimOffset: 1})
	require.Equal(t, claim.Free, b.View(id, "").Status)
}
