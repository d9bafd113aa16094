package countwindow

import "time"

// minShare is the least share of the ranks that the loads of a group are derived from. The
// requests of one rank select few experts, so a part of the ranks says little about the
// group.
const minShare = 0.85

// Table holds the last increase of each rank of a group. It isn't safe for concurrent
// use.
type Table struct {
	// byRank holds the increase of each rank; its time is zero if there is none.
	byRank []increase
	// usedAt is the time of the last total.
	usedAt time.Time
}

// increase is what one rank counted in one second.
type increase struct {
	at        time.Time
	perSecond []float64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{} }

// Set records the counts of a rank over a time that ends at a time.
func (t *Table) Set(rank int, at time.Time, counts []float64, over time.Duration) {
	for len(t.byRank) <= rank {
		t.byRank = append(t.byRank, increase{})
	}
	i, seconds := &t.byRank[rank], over.Seconds()
	i.at, i.perSecond = at, i.perSecond[:0]
	for _, n := range counts {
		i.perSecond = append(i.perSecond, n/seconds)
	}
}

// Due reports whether a total may be due within a time from now. Counts that are read
// earlier are out of date by then.
func (t *Table) Due(now time.Time, within time.Duration) bool {
	return now.Add(within).Sub(t.usedAt) >= Span
}

// Total is the sum of the increases of all ranks.
type Total struct {
	// Counts holds the sum over the ranks, for Span, by layer and expert.
	Counts []float64
	// Dispersion is the variance of a count relative to the count itself. It is 1 for
	// independent choices. The tokens of one request choose similar experts, so it is
	// much larger.
	Dispersion float64
	// OldestAge is the age of the oldest increase.
	OldestAge time.Duration
}

// Total returns the sum over the ranks of a group of a size. It returns false until
// enough ranks have an increase that is newer than the last total and not older than
// maxAge.
func (t *Table) Total(now time.Time, ranks int, maxAge time.Duration) (Total, bool) {
	var used []increase
	total := Total{}
	for _, i := range t.byRank {
		age := now.Sub(i.at)
		if i.at.IsZero() || age > maxAge || !i.at.After(t.usedAt) {
			continue
		}
		total.OldestAge = max(total.OldestAge, age)
		used = append(used, i)
	}
	if len(used) == 0 || float64(len(used)) < minShare*float64(ranks) || now.Sub(t.usedAt) < Span {
		return Total{}, false
	}
	t.usedAt = now
	total.Counts = make([]float64, len(used[0].perSecond))
	seconds := Span.Seconds()
	for _, i := range used {
		for e, n := range i.perSecond {
			total.Counts[e] += n * seconds
		}
	}
	total.Dispersion = dispersion(used, total.Counts)
	return total, true
}

// dispersion estimates the variance of a total from the differences between the ranks,
// relative to the total. The ranks serve different requests, so that their counts are
// independent samples.
func dispersion(used []increase, totals []float64) float64 {
	n := float64(len(used))
	if n < 2 {
		return 1
	}
	squares := make([]float64, len(totals))
	seconds := Span.Seconds()
	for _, i := range used {
		for e, perSecond := range i.perSecond {
			d := perSecond*seconds - totals[e]/n
			squares[e] += d * d
		}
	}
	variance, sum := 0.0, 0.0
	for e, total := range totals {
		variance += n * squares[e] / (n - 1)
		sum += total
	}
	if sum == 0 {
		return 1
	}
	return max(variance/sum, 1)
}
