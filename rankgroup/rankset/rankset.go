// Package rankset holds sets of the ranks of a group.
//
// Groups have from one rank to more than a thousand, and the planner of expert maps keeps
// a set for each expert, so a set is a slice of words, and a Table holds many sets in one
// allocation. The functions are deterministic. Values are not safe for concurrent
// modification.
package rankset

import (
	"iter"
	"math/bits"
	"slices"
)

const wordBits = 64

// Set is a set of ranks below the number that it was made for. The nil set is empty, and
// no rank can be added to it.
type Set []uint64

// New returns an empty set for ranks below the given number.
func New(ranks int) Set { return make(Set, words(ranks)) }

func words(ranks int) int { return (ranks + wordBits - 1) / wordBits }

// Add adds a rank.
func (s Set) Add(rank int) { s[uint(rank)/wordBits] |= 1 << (uint(rank) % wordBits) }

// AddAll adds the ranks of another set for the same number of ranks.
func (s Set) AddAll(other Set) {
	for i, w := range other {
		s[i] |= w
	}
}

// Remove removes a rank.
func (s Set) Remove(rank int) { s[uint(rank)/wordBits] &^= 1 << (uint(rank) % wordBits) }

// Has reports whether a rank is in the set.
func (s Set) Has(rank int) bool {
	word := uint(rank) / wordBits
	return word < uint(len(s)) && s[word]>>(uint(rank)%wordBits)&1 == 1
}

// Len returns the number of ranks in the set.
func (s Set) Len() int {
	n := 0
	for _, w := range s {
		n += bits.OnesCount64(w)
	}
	return n
}

// Empty reports whether the set has no rank.
func (s Set) Empty() bool { return s.First() < 0 }

// First returns the lowest rank, or -1 if the set is empty.
func (s Set) First() int {
	for i, w := range s {
		if w != 0 {
			return i*wordBits + bits.TrailingZeros64(w)
		}
	}
	return -1
}

// All yields the ranks in ascending order.
func (s Set) All() iter.Seq[int] { return AllOfEither(s, nil) }

// AllOfEither yields the ranks that are in at least one of two sets, in ascending order.
// The sets are for the same number of ranks, or nil.
func AllOfEither(a, b Set) iter.Seq[int] {
	return func(yield func(int) bool) {
		for i := range max(len(a), len(b)) {
			word := uint64(0)
			if i < len(a) {
				word = a[i]
			}
			if i < len(b) {
				word |= b[i]
			}
			for ; word != 0; word &= word - 1 {
				if !yield(i*wordBits + bits.TrailingZeros64(word)) {
					return
				}
			}
		}
	}
}

// Within reports whether all ranks of the set are in the other one. Both are for the same
// number of ranks.
func (s Set) Within(other Set) bool {
	for i, w := range s {
		if w&^other[i] != 0 {
			return false
		}
	}
	return true
}

// Intersects reports whether the sets have a rank in common. Both are for the same number
// of ranks.
func (s Set) Intersects(other Set) bool {
	for i, w := range s {
		if w&other[i] != 0 {
			return true
		}
	}
	return false
}

// Table holds a fixed number of sets.
type Table struct {
	words    []uint64
	perEntry int
}

// NewTable returns a table of empty sets for ranks below the given number.
func NewTable(sets, ranks int) Table {
	n := words(ranks)
	return Table{words: make([]uint64, sets*n), perEntry: n}
}

// Of returns a set of the table. Changes of it change the table.
func (t Table) Of(i int) Set { return Set(t.words[i*t.perEntry : (i+1)*t.perEntry]) }

// Has reports whether a rank is in set i.
func (t Table) Has(i, rank int) bool {
	return t.words[uint(i)*uint(t.perEntry)+uint(rank)/wordBits]>>(uint(rank)%wordBits)&1 == 1
}

// Len returns the number of sets.
func (t Table) Len() int { return len(t.words) / t.perEntry }

// Clear empties all sets.
func (t Table) Clear() { clear(t.words) }

// Clone returns a copy.
func (t Table) Clone() Table { return Table{words: slices.Clone(t.words), perEntry: t.perEntry} }
