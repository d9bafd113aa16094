package capacity

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/table"
)

const roleTable = "table reader"

func tableSeries() []measurementSeries {
	sizes := []int{110, 1100, 2200, 4400}
	return []measurementSeries{
		{
			roleTable, "memory of fold and view", "organisations", "B", sizes, designOrganisations,
			func(n int) (float64, error) {
				var err error
				heap := retainedHeap(func() any {
					var f *table.State
					f, err = newFilledFold(n)
					if err != nil {
						return nil
					}
					return []any{f, f.View()}
				})
				return heap, err
			},
		},
		{
			roleTable, "time to apply one change and publish the view", "organisations", "s", sizes, designOrganisations,
			applyTime,
		},
		{
			roleTable, "bytes of a snapshot", "organisations", "B", sizes, designOrganisations,
			func(n int) (float64, error) {
				f, err := newFilledFold(n)
				if err != nil {
					return 0, err
				}
				data, err := f.Snapshot()
				return float64(len(data)), err
			},
		},
		{
			roleTable, "bytes of a change set", "rows in the set", "B",
			[]int{1, 10, 100},
			1,
			func(n int) (float64, error) {
				f, err := newFilledFold(n)
				if err != nil {
					return 0, err
				}
				data, err := weightChanges(f, n, "w", 2).Encode()
				return float64(len(data)), err
			},
		},
	}
}

func applyTime(n int) (float64, error) {
	f, err := newFilledFold(n)
	if err != nil {
		return 0, err
	}
	i := 0
	var failure error
	perCall := timePerCall(func() {
		i++
		set := weightChanges(f, 1, fmt.Sprintf("c%d", i), float64(1+i%9))
		if err := applyChangeSet(f, set); err != nil {
			failure = err
		}
		_ = f.View()
	})
	return perCall, failure
}

// newFilledFold returns a fold with n organisations, each with a weight and a
// limit.
func newFilledFold(n int) (*table.State, error) {
	const office = "sibiu"
	f := table.NewState()
	set := table.ChangeSet{Type: table.TypeChangeSet, ID: "base", Office: office}
	add := func(row table.Row) {
		row.Office = office
		key, _ := row.Key()
		set.Changes = append(set.Changes, table.Change{Key: key, Row: &row})
	}
	add(table.Row{Class: &table.Class{Name: "desk", Priority: 0, Reserve: 0.1}})
	if err := applyChangeSet(f, set); err != nil {
		return nil, err
	}
	const organisationsPerSet = 500
	for first := 0; first < n; first += organisationsPerSet {
		set = table.ChangeSet{Type: table.TypeChangeSet, ID: fmt.Sprintf("fill%d", first), Office: office, ReadOffset: f.Offset()}
		for i := first; i < min(n, first+organisationsPerSet); i++ {
			name := organisationName(i)
			add(table.Row{Organisation: &table.Organisation{Name: name, KeySHA256: table.HashAPIKey(name), Class: "desk"}})
			add(table.Row{Weight: &table.Weight{Organisation: name, Weight: 1}})
			add(table.Row{Limit: &table.Limit{Organisation: name, RequestsPerSecond: 10, TokensPerSecond: 5000, InFlight: 20}})
		}
		if err := applyChangeSet(f, set); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func organisationName(i int) string { return fmt.Sprintf("organisation-%04d", i) }

// weightChanges returns a change set that gives n organisations a new weight.
func weightChanges(f *table.State, n int, id string, weight float64) table.ChangeSet {
	const office = "sibiu"
	set := table.ChangeSet{Type: table.TypeChangeSet, ID: id, Office: office, ReadOffset: f.Offset()}
	view := f.View()
	for i := range n {
		row := table.Row{Office: office, Weight: &table.Weight{Organisation: organisationName(i), Weight: weight}}
		key, _ := row.Key()
		entry, _ := view.Get(key)
		set.Changes = append(set.Changes, table.Change{Key: key, BaseVersion: entry.Version, Row: &row})
	}
	return set
}

func applyChangeSet(f *table.State, set table.ChangeSet) error {
	data, err := set.Encode()
	if err != nil {
		return err
	}
	offset := f.Offset() + 1
	v := f.Apply(infra.Record{Offset: offset, Time: time.Unix(int64(offset), 0), Data: data})
	if v.Outcome != table.OutcomeAccepted {
		return errors.Wrapf(table.FaultsError(v.Faults), "change set %s", set.ID)
	}
	return nil
}
