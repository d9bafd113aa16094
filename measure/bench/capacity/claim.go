package capacity

import (
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/serve/claim"
)

const roleClaims = "sidecar of a plain service"

func claimSeries() []measurementSeries {
	return []measurementSeries{
		{
			roleClaims, "memory of the claim book", "claims in the window", "B",
			[]int{1000, 10_000, 100_000},
			100_000,
			func(n int) (float64, error) {
				var err error
				heap := retainedHeap(func() any {
					var index *claim.Index
					index, err = newFilledIndex(n)
					return index
				})
				return heap, err
			},
		},
		{
			roleClaims, "bytes of a claim record", "claims in the record", "B",
			[]int{1, 4, 16, 64},
			1,
			func(n int) (float64, error) {
				data, err := claim.Encode(uuid.NewString(), uuid.NewString(), claimEntries(n, 0))
				return float64(len(data)), err
			},
		},
		{
			roleClaims, "time to fold one claim", "claims held", "s",
			[]int{1000, 10_000, 100_000},
			100_000,
			claimApplyTime,
		},
	}
}

func claimApplyTime(n int) (float64, error) {
	index, err := newFilledIndex(n)
	if err != nil {
		return 0, err
	}
	i := n
	var failure error
	perCall := timePerCall(func() {
		i++
		if err := applyClaims(index, claimEntries(1, i)); err != nil {
			failure = err
		}
	})
	return perCall, failure
}

func newFilledIndex(n int) (*claim.Index, error) {
	settings := claim.DefaultSettings()
	settings.MaxIdentities = 10 * n
	index := claim.NewIndex(settings)
	const perRecord = 16
	for first := 0; first < n; first += perRecord {
		if err := applyClaims(index, claimEntries(perRecord, first)); err != nil {
			return nil, err
		}
	}
	return index, nil
}

func applyClaims(index *claim.Index, entries []claim.Entry) error {
	data, err := claim.Encode("record", "incarnation", entries)
	if err != nil {
		return err
	}
	index.Apply(infra.Record{Offset: index.Offset() + 1, Time: baseTime, Data: data})
	return nil
}

// baseTime is the creation time of all keys, so that none leaves the retention
// window.
var baseTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// claimEntries returns n claims numbered from first, with the keys of
// numberedKey.
func claimEntries(n, first int) []claim.Entry {
	entries := make([]claim.Entry, 0, n)
	for i := range n {
		number := first + i
		entries = append(entries, claim.Entry{
			Type: claim.EntryClaim, Seq: uint64(number), Organisation: organisationName(number % designOrganisations),
			Service: "order-book", Key: numberedKey(number), BodyHash: "0123456789abcdef",
		})
	}
	return entries
}

// numberedKey returns a UUIDv7 that is derived from number and has the
// timestamp baseTime.
func numberedKey(number int) uuid.UUID {
	rng := rand.New(rand.NewPCG(uint64(number), 1))
	var key uuid.UUID
	ms := uint64(baseTime.UnixMilli())
	for i := range 6 {
		key[i] = byte(ms >> (8 * (5 - i)))
	}
	for i := 6; i < len(key); i++ {
		key[i] = byte(rng.Uint32())
	}
	key[6] = key[6]&0x0f | 0x70
	key[8] = key[8]&0x3f | 0x80
	return key
}
