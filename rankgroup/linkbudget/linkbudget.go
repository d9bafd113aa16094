// Package linkbudget bounds the traffic that the holder of a rank group causes on the
// link of its instance.
//
// It is designed for large groups behind slow links. With 64 ranks, 12 layer sets of
// 256 experts and a link of 6 Mbit/s, a single reading of all expert counts and a single
// order with a whole expert map to each rank take the link for 0.8 s each. All calls of
// such a round time out, the holder learns nothing, and the group keeps its first map.
// The budget therefore spreads large messages over several rounds and reads the counts
// of a few ranks at a time.
//
// The package is deterministic and does no I/O.
package linkbudget

import "time"

const (
	// stateBytes is the size of one reading of a rank's state, with the headers of the
	// call.
	stateBytes = 450
	// countsPerByte is the number of expert counts in a byte; see package countwindow.
	countsPerByte = 2
	// stateShare, countShare and orderShare are the fractions of the link that readings
	// of states, readings of counts and large orders may take. The link also carries the
	// responses of the backend server.
	stateShare = 0.4
	countShare = 0.45
	orderShare = 0.6
)

// Link is the link of the holder's instance.
type Link struct {
	// BytesPerSecond is its rate in one direction. 0 means that it isn't limited.
	BytesPerSecond float64
}

// ReadInterval returns the time between two readings of the states of all ranks. It is
// interval, or longer if the readings would exceed their share of the link.
func (l Link) ReadInterval(interval time.Duration, ranks int) time.Duration {
	if l.BytesPerSecond <= 0 {
		return interval
	}
	seconds := float64(ranks*stateBytes) / (stateShare * l.BytesPerSecond)
	return max(interval, time.Duration(seconds*float64(time.Second)))
}

// CountReadings returns the number of ranks whose counts are read in one round, if a
// round takes interval and a rank has the given number of counts.
func (l Link) CountReadings(interval time.Duration, ranks, counts int) int {
	if l.BytesPerSecond <= 0 || counts == 0 {
		return ranks
	}
	fitting := int(countShare * l.BytesPerSecond * interval.Seconds() / (float64(counts) / countsPerByte))
	return min(max(fitting, 1), ranks)
}

// Orders returns how many of the first orders, given their sizes in bytes, are sent at
// once so that all of them arrive within timeout. It is at least 1 if there are any.
func (l Link) Orders(timeout time.Duration, sizes []int) int {
	if l.BytesPerSecond <= 0 {
		return len(sizes)
	}
	left := orderShare * l.BytesPerSecond * timeout.Seconds()
	for i, size := range sizes {
		if left -= float64(size); left < 0 && i > 0 {
			return i
		}
	}
	return len(sizes)
}

// TransferTime returns the time that the link takes for a number of bytes.
func (l Link) TransferTime(bytes int) time.Duration {
	if l.BytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / l.BytesPerSecond * float64(time.Second))
}

// Rotation selects ranks in turn.
type Rotation struct {
	next int
}

// Select returns, by rank, whether a rank is one of the next n ranks.
func (r *Rotation) Select(ranks, n int) []bool {
	selected := make([]bool, ranks)
	for range min(n, ranks) {
		r.next %= ranks
		selected[r.next] = true
		r.next++
	}
	return selected
}
