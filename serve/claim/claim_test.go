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

// Guards against two runs of an identity, a not_run answer that is or becomes
// untrue, and a done answer that differs from what ran, under all faults.
func TestAtMostOnceUnderFaults(t *testing.T) {
	answers := make(map[string]int)
	runs := 0
	for _, seed := range seeds.ForTest(t, 60) {
		w := newWorld(seed, none)
		w.run()
		require.Empty(t, w.violations, seeds.ReplayCommand(t, "serve/claim", seed))
		for status, n := range w.answers {
			answers[status] += n
		}
		runs += len(w.runs)
	}
	t.Logf("runs %d, answers %v", runs, answers)
}

// Guards against a check in the model that no fault can trip: with each rule
// switched off the model has to find violations.
func TestModelFindsViolations(t *testing.T) {
	for _, off := range []rule{readOwnRecord, lostIsUnknown, gapIsUnknown, brokenIsLost, endsWhenRefuse} {
		bad, total := 0, 0
		list := seeds.ForTest(t, 25)
		for _, seed := range list {
			w := newWorld(seed, off)
			w.run()
			total += len(w.violations)
			if len(w.violations) > 0 {
				bad++
			}
		}
		t.Logf("without %q: %d violations in %d of %d seeds", off, total, bad, len(list))
		require.Positive(t, bad, "without %q, first seed %d", off, list[0])
	}
}

// Guards against a key that is accepted without proof of its age.
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

// Guards against an outcome accepted from another incarnation or for another
// claim, and against a reader that stops at a record of a later version.
func TestBookSkipsForeignRecords(t *testing.T) {
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
