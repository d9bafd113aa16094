// Package switchover moves a lock-step group of ranks from one expert map to the
// next where the ranks can be armed for a step and can hold the group at one.
//
// A holder reads all ranks, and derives the next orders from what they report
// alone. It has the experts of the new map copied to every rank, has a rank on
// another machine hold the group at a step ahead, arms every rank for that step,
// its own one last, and releases the group when each rank has confirmed that it
// is armed. Two rules keep all ranks on one map:
//
//   - a rank is armed only while the group is held at that step;
//   - a hold is released only when all ranks are armed for that step with the
//     same version, or when none is and none can be.
//
// The holder's own rank is the last to be armed, and the hold is elsewhere, so
// that the others can undo a switch whose holder vanished together with the way
// to its rank. Whoever goes on with a switch that another began does so in the
// name of that holder, and arms that holder's rank last.
//
// An order may be lost, and may be carried out long after it was sent. It then
// meets a group that has passed the step, has a newer version prepared or is in
// a later epoch, and each of these refuses it. A holder that takes over finds
// everything in the reports: it finishes what its predecessor began, with a copy
// of the present map if nothing else is prepared everywhere.
//
// The package answers the loss, pause or replacement of the holder at any
// moment, and orders that are carried out late. It is deterministic and does no
// I/O. A Coordinator has one owner.
package switchover

import (
	"github.com/filbertmux/filbertmux/rankgroup/experts"
)

// Config holds the parameters of a Coordinator.
type Config struct {
	// Self is the holder, or the zero value for one that only goes on with what
	// others began.
	Self Holder
	// HoldAt is the rank at which the group is held, on another machine.
	HoldRank int
	// Ranks is the number of ranks of the group.
	Ranks int
	// Lead is the number of steps between the newest step and the one at which
	// the group is held. Within it, all ranks can be armed without a pause.
	LeadSteps int64
}

// Coordinator derives the orders of the holder of a group.
type Coordinator struct {
	config Config
	phase  Phase
	epoch  int64
	target *target
	// asked is the version that a rank was asked to prepare, by rank. A rank
	// that copies is not asked again.
	asked map[int]int64
	// settled says that the group was seen without a switch under way, so what
	// follows was begun by this holder. giver is the one of the last orders.
	settled bool
	giver   Holder
}

type target struct {
	version int64
	planned *experts.Map
}

// New returns a coordinator without a target.
func New(config Config) *Coordinator {
	return &Coordinator{config: config, asked: make(map[int]int64)}
}

// SetLeadSteps changes the number of steps between the newest step and the one at
// which the group is held, for a group whose steps have become longer or shorter.
func (c *Coordinator) SetLeadSteps(steps int64) { c.config.LeadSteps = max(steps, 1) }

// Issuer returns the holder in whose name the last orders have to be given.
func (c *Coordinator) Issuer() Holder { return c.giver }

// pickGiver chooses the giver of the next orders. Until the group was seen at
// rest, a predecessor may have armed any rank but its own.
func (c *Coordinator) pickGiver(reports []Report) {
	c.giver = c.config.Self
	if c.settled && c.giver.Token > 0 {
		return
	}
	if last := lastGiver(reports); last.Token > 0 {
		c.giver = last
	}
}

// Phase returns how far the switch was at the last call of Next.
func (c *Coordinator) Phase() Phase { return c.phase }

// Submit sets the map to switch to. version is higher than all versions that
// any rank has had. It is only accepted while Idle.
func (c *Coordinator) Submit(version int64, planned *experts.Map) bool {
	if c.phase != Idle {
		return false
	}
	c.target = &target{version: version, planned: planned}
	return true
}

// Abandon gives up the target, for example because a rank can't prepare it. A
// group that is held is brought to its release nevertheless.
func (c *Coordinator) Abandon() { c.target = nil }

// Next returns the orders to send now. reports holds the newest report of each
// rank, read after the last orders were answered or given up. inForce is the map
// that the ranks use; version is higher than all versions that any rank has had.
func (c *Coordinator) Next(reports []Report, inForce *experts.Map, version int64) []Order {
	if !c.complete(reports) {
		c.phase = Unknown
		return nil
	}
	if epoch := reports[0].Epoch; epoch != c.epoch {
		// What was planned rests on the map of another epoch.
		c.epoch, c.target = epoch, nil
		clear(c.asked)
	}
	c.pickGiver(reports)
	armed := countArmed(reports)
	held := anyHeld(reports)
	switch {
	case c.underWay(reports):
		c.phase = Switching
		return nil
	case armed == len(reports) && sameArms(reports):
		return c.release(reports)
	case held > 0 && anyCancelled(reports, held):
		c.phase = Arming
		return c.cancel(reports, held, inForce, version)
	case armed > 0 && (held == 0 || !c.mayComplete(reports, held)):
		return c.disarm(reports)
	case held > 0:
		return c.arm(reports, held, inForce, version)
	default:
		return c.advance(reports)
	}
}

// complete reports whether all ranks were read, in one epoch of an open group.
func (c *Coordinator) complete(reports []Report) bool {
	if len(reports) != c.config.Ranks {
		return false
	}
	for _, r := range reports {
		if !r.Open || r.Epoch != reports[0].Epoch {
			return false
		}
	}
	return true
}

// underWay reports whether the reports were read while the ranks went from one
// map to the next: they differ, because each one was read at another moment.
func (c *Coordinator) underWay(reports []Report) bool {
	for _, r := range reports {
		if r.InForce != reports[0].InForce {
			return true
		}
	}
	return false
}

// release ends the holds of a group whose ranks are all armed.
func (c *Coordinator) release(reports []Report) []Order {
	c.phase = Switching
	var out []Order
	for _, r := range reports {
		if r.HoldStep > 0 {
			out = append(out, Order{Rank: r.Rank, Kind: Release, Epoch: r.Epoch, Step: r.HoldStep})
		}
	}
	return out
}

// mayComplete reports whether the ranks that aren't armed can follow the others.
func (c *Coordinator) mayComplete(reports []Report, held int64) bool {
	var want *ArmedSwitch
	for _, r := range reports {
		switch {
		case r.Armed == nil:
		case want == nil:
			want = r.Armed
		case *want != *r.Armed:
			return false
		}
	}
	if want == nil || want.Step != held {
		return false
	}
	for _, r := range reports {
		if r.Armed == nil && r.Prepared != want.Version {
			return false
		}
	}
	return true
}

// disarm undoes a switch that can't be completed.
func (c *Coordinator) disarm(reports []Report) []Order {
	c.phase = Arming
	var out []Order
	for _, r := range reports {
		if r.Armed != nil {
			out = append(out, Order{Rank: r.Rank, Kind: Disarm, Epoch: r.Epoch, Version: r.Armed.Version})
		}
	}
	return out
}

// arm brings a held group towards its release. If no version is prepared on all
// ranks, a copy of the map in force is, which needs no copying of experts.
func (c *Coordinator) arm(reports []Report, held int64, inForce *experts.Map, version int64) []Order {
	prepared, same := samePrepared(reports)
	if !same || prepared <= reports[0].InForce {
		if c.target == nil || c.superseded(reports) {
			c.target = &target{version: version, planned: inForce}
		}
		return c.prepare(reports)
	}
	c.phase = Arming
	var out []Order
	last := -1
	for i, r := range reports {
		switch {
		case r.Armed != nil:
		case r.Rank == c.giver.Rank:
			last = i
		default:
			out = append(out, Order{Rank: r.Rank, Kind: Arm, Epoch: r.Epoch, Version: prepared, Step: held})
		}
	}
	if len(out) == 0 && last >= 0 {
		r := reports[last]
		out = append(out, Order{Rank: r.Rank, Kind: Arm, Epoch: r.Epoch, Version: prepared, Step: held})
	}
	return out
}

// CancelWithoutHolder returns the orders that free a held group whose holder vanished together
// with the way to its rank, the only one that reports lacks. inForce holds the
// experts of the other ranks; version is higher than all versions that any rank
// has had.
func (c *Coordinator) CancelWithoutHolder(reports []Report, inForce *experts.Map, version int64) []Order {
	c.phase = Unknown
	held := anyHeld(reports)
	if !c.onlyGiverMissing(reports) || held == 0 {
		return nil
	}
	return c.cancel(reports, held, inForce, version)
}

// cancel ends a hold without a switch. The giver's rank is armed only when all
// others are armed at one time, so as soon as one rank that isn't armed refuses to
// be, neither that rank nor the giver's can be armed any more, even if the holder
// is only slow and goes on. The others are disarmed then.
func (c *Coordinator) cancel(reports []Report, held int64, inForce *experts.Map, version int64) []Order {
	refusing, armed := 0, countArmed(reports)
	for _, r := range reports {
		if r.refuses(held) {
			refusing++
		}
	}
	switch {
	case refusing > 0 && armed > 0:
		return c.disarm(reports)
	case refusing == len(reports):
		return c.release(reports)
	default:
		// If all are armed, the giver's rank may be armed as well, and there is
		// nothing to cancel.
		return cancelUnarmed(reports, held, inForce, version)
	}
}

// cancelUnarmed has the ranks that aren't armed refuse to be.
func cancelUnarmed(reports []Report, held int64, inForce *experts.Map, version int64) []Order {
	var out []Order
	for _, r := range reports {
		if r.Armed != nil || r.cancelled(held) {
			continue
		}
		out = append(out, Order{
			Rank: r.Rank, Kind: Prepare, Epoch: r.Epoch, Version: version, Map: inForce, CancelsStep: held,
		})
	}
	return out
}

// onlyGiverMissing reports whether all ranks were read, in one epoch of an open
// group, but that of the holder that gave the last orders.
func (c *Coordinator) onlyGiverMissing(reports []Report) bool {
	if len(reports) != c.config.Ranks-1 || len(reports) == 0 || c.underWay(reports) {
		return false
	}
	c.giver = lastGiver(reports)
	if c.giver.Token == 0 {
		return false
	}
	for _, r := range reports {
		if !r.Open || r.Epoch != reports[0].Epoch || r.Rank == c.giver.Rank {
			return false
		}
	}
	return true
}

// superseded reports whether a rank has a version prepared that another holder
// issued after the target.
func (c *Coordinator) superseded(reports []Report) bool {
	for _, r := range reports {
		if r.Prepared > c.target.version {
			return true
		}
	}
	return false
}

// advance drives a group in which nothing is armed or held.
func (c *Coordinator) advance(reports []Report) []Order {
	if c.target != nil && (reports[0].InForce == c.target.version || c.superseded(reports)) {
		c.target = nil
	}
	c.settled = true
	c.pickGiver(reports)
	if c.target == nil {
		c.phase = Idle
		return nil
	}
	if prepared, same := samePrepared(reports); !same || prepared != c.target.version {
		return c.prepare(reports)
	}
	c.phase = Holding
	newest := int64(0)
	for _, r := range reports {
		newest = max(newest, r.Step)
	}
	return []Order{{Rank: c.config.HoldRank, Kind: Hold, Epoch: c.epoch, Step: newest + c.config.LeadSteps}}
}

// prepare asks the ranks that have not begun to copy.
func (c *Coordinator) prepare(reports []Report) []Order {
	c.phase = Preparing
	var out []Order
	for _, r := range reports {
		if r.Prepared >= c.target.version || c.asked[r.Rank] == c.target.version {
			continue
		}
		out = append(out, Order{
			Rank: r.Rank, Kind: Prepare, Epoch: r.Epoch, Version: c.target.version, Map: c.target.planned,
		})
	}
	return out
}

// MarkAccepted notes that a rank has begun an order, so that a copy under way isn't
// asked for again.
func (c *Coordinator) MarkAccepted(o Order) {
	if o.Kind == Prepare {
		c.asked[o.Rank] = o.Version
	}
}
