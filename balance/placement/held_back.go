package placement

import (
	"slices"
	"time"
)

// Reason is why a server gets no requests at the moment.
type Reason uint8

// Reasons. The list is closed.
const (
	// Evacuated: the failure domain of the server is evacuated.
	Evacuated Reason = iota
	// Leaving and Paused: the server has stated that it is leaving, or that it wants no
	// requests for a while.
	Leaving
	Paused
	// Banned: another server has taken over its address.
	Banned
	// Ejected: the server failed several requests in a row.
	Ejected
	// BrokenGroup: its rank group is broken, and a request that tests the group is not due.
	BrokenGroup
	// Limited and Cold: its pace doesn't allow a request yet, because of the limit that it
	// states, or because it may be cold.
	Limited
	Cold
	// Slow: its rank is slow, and the server is used only if there is no other one.
	Slow
	// Cooldown: it has failed, was full or didn't answer a probe a moment ago.
	Cooldown
	// Full: neither the server nor its batch has room for another request.
	Full
	// Memory: it has no memory for this request.
	Memory
	// Region: the request must not run in its region.
	Region
	// Tried: the request was tried there before.
	Tried

	reasonCount
)

var reasonNames = [reasonCount]string{
	"evacuated", "leaving", "paused", "banned", "ejected", "broken_group", "limited", "cold", "slow", "cooldown",
	"full", "memory", "region", "tried",
}

// Reasons returns all reasons.
func Reasons() []Reason {
	list := make([]Reason, reasonCount)
	for i := range list {
		list[i] = Reason(i)
	}
	return list
}

// String implements fmt.Stringer.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// HeldBack holds the number of servers that each reason holds back. A server that several
// reasons hold back counts for each of them.
type HeldBack [reasonCount]int

// SetEjected sets the servers that are left out of the list because they failed several
// requests in a row. They get no requests and are only counted as held back.
func (s *Scheduler[T]) SetEjected(list []Server) { s.ejected = list }

// HeldBack counts the servers that can't start a request with a constraint now, by reason.
// It changes nothing. It is meant for refused requests and for metrics, because it looks at
// each server.
func (s *Scheduler[T]) HeldBack(now time.Time, constraint Constraint) HeldBack {
	var held HeldBack
	for _, id := range s.serverIDs {
		s.addReasons(&held, now, s.servers[id], constraint)
	}
	for _, l := range s.ejected {
		held[Ejected]++
		addConstraint(&held, &server{Server: l}, constraint)
	}
	return held
}

// addReasons adds one server to the count of each reason that holds it back.
func (s *Scheduler[T]) addReasons(held *HeldBack, now time.Time, c *server, constraint Constraint) {
	paced := !c.pace.allows(now)
	cold := c.pace.reason == ErrCold //nolint:errorlint // the reason is one of a closed list and not wrapped
	for reason, holds := range [reasonCount]bool{
		Evacuated:   c.evacuated,
		Leaving:     c.leaving,
		Paused:      c.pausedUntil.After(now),
		Banned:      c.bannedUntil.After(now),
		BrokenGroup: s.groupBlocked(now, c.Group),
		Limited:     paced && !cold,
		Cold:        paced && cold,
		Slow:        c.avoidUntil.After(now),
		Cooldown:    c.cooldownUntil.After(now),
		Full:        !s.hasCapacity(c, freeSlot),
		Memory:      !s.hasMemory(c, constraint.Tokens),
	} {
		if holds {
			held[reason]++
		}
	}
	addConstraint(held, c, constraint)
}

// addConstraint adds one server to the counts of the reasons that are about the request
// alone.
func addConstraint(held *HeldBack, c *server, constraint Constraint) {
	if slices.Contains(constraint.Exclude, c.ID) {
		held[Tried]++
	}
	if !constraint.withoutExclusions().allows(c) {
		held[Region]++
	}
}
