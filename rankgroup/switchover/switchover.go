// Package switchover coordinates the switch of a lock-step rank group from one
// expert map to the next. It requires that a rank can be armed, so that it
// switches maps when it starts a given step, and that a rank can hold the group,
// so that no rank starts a given step before the hold is released.
//
// The holder is the elected leader of the group. It reads the state of all ranks
// and derives the next orders from these reports alone. In a switch, it does the
// following:
//
//  1. has every rank copy the experts of the new map;
//  2. has a rank on another instance hold the group at a future step;
//  3. arms every rank for that step, its own rank last;
//  4. releases the group when every rank has confirmed that it is armed.
//
// Two rules keep all ranks on one map:
//
//   - a rank is armed only while the group is held at that step;
//   - a hold is released only when all ranks are armed for that step with the
//     same version, or when no rank is armed and none can be.
//
// The holder and its own rank may become unreachable together. The other agents
// can still cancel the switch, because the holder's rank is armed last and a rank
// on another instance holds the group. An agent that continues the switch of
// another holder sends its orders in the name of that holder, and arms that
// holder's rank last.
//
// An order may be lost, or executed long after it was sent. A late order is
// refused, because the group has passed the step of the order, has prepared a
// newer version or is in a later epoch. A new holder needs only the reports to
// complete the switch that its predecessor started. If no version is prepared on
// all ranks, it switches to a copy of the map in force.
//
// The holder may crash, pause or be replaced at any moment, and orders may be
// delayed. The package is deterministic and does no I/O. A Coordinator is not
// safe for concurrent use.
package switchover

import (
	"github.com/filbertmux/filbertmux/rankgroup/experts"
)

// Config holds the parameters of a Coordinator.
type Config struct {
	// Self identifies this holder. It is the zero value for an agent that isn't the
	// holder and only completes or cancels the switch of an unreachable one.
	Self Holder
	// HoldRank is the rank that holds the group. It is on another instance than the
	// holder, so that it can be released while that instance is unreachable.
	HoldRank int
	// Ranks is the number of ranks of the group.
	Ranks int
	// LeadSteps is the number of steps between the newest step and the one at which
	// the group is held. If all ranks are armed before the group reaches that step,
	// it does not pause.
	LeadSteps int64
}

// Coordinator derives the orders of the holder of a group from the reports of its
// ranks.
type Coordinator struct {
	config Config
	phase  Phase
	epoch  int64
	target *target
	// requested is the version that each rank has accepted to prepare. A rank that
	// is still copying is not asked again.
	requested map[int]int64
	// seenIdle is true once the group was seen without a switch in progress. Any
	// later switch was started by this holder.
	seenIdle bool
	// issuer is the holder in whose name the last orders were sent.
	issuer Holder
}

// target is the map to switch to.
type target struct {
	version   int64
	expertMap *experts.Map
}

// New returns a coordinator without a target.
func New(config Config) *Coordinator {
	return &Coordinator{config: config, requested: make(map[int]int64)}
}

// SetLeadSteps changes the number of steps between the newest step and the one at
// which the group is held, for a group whose steps have become longer or shorter.
func (c *Coordinator) SetLeadSteps(steps int64) { c.config.LeadSteps = max(steps, 1) }

// Issuer returns the holder in whose name the last orders must be sent.
func (c *Coordinator) Issuer() Holder { return c.issuer }

// chooseIssuer sets the issuer of the next orders. Until the group was seen idle,
// a switch of a predecessor may be in progress. Its orders must be continued in
// the predecessor's name, because any rank but the predecessor's own may already
// be armed.
func (c *Coordinator) chooseIssuer(reports []Report) {
	c.issuer = c.config.Self
	if c.seenIdle && c.issuer.Token > 0 {
		return
	}
	if last := newestHolder(reports); last.Token > 0 {
		c.issuer = last
	}
}

// Phase returns the progress of the switch at the last call of Next or
// CancelWithoutHolder.
func (c *Coordinator) Phase() Phase { return c.phase }

// Submit sets the map to switch to. version must be higher than every version that
// any rank has had. Submit returns false unless the phase is Idle.
func (c *Coordinator) Submit(version int64, expertMap *experts.Map) bool {
	if c.phase != Idle {
		return false
	}
	c.target = &target{version: version, expertMap: expertMap}
	return true
}

// Abandon drops the target, for example because a rank can't prepare it. Next still
// releases a group that is held.
func (c *Coordinator) Abandon() { c.target = nil }

// Next returns the orders to send now. reports holds the newest report of each
// rank, read after the last orders got a response or timed out. inForce is the map
// that the ranks use. version must be higher than every version that any rank has
// had.
func (c *Coordinator) Next(reports []Report, inForce *experts.Map, version int64) []Order {
	if !c.allReported(reports) {
		c.phase = Unknown
		return nil
	}
	if epoch := reports[0].Epoch; epoch != c.epoch {
		// The target was planned for the map of another epoch.
		c.epoch, c.target = epoch, nil
		clear(c.requested)
	}
	c.chooseIssuer(reports)
	armed := countArmed(reports)
	holdStep := lowestHoldStep(reports)
	switch {
	case c.mapsDiffer(reports):
		c.phase = Switching
		return nil
	case armed == len(reports) && armedAlike(reports):
		return c.release(reports)
	case holdStep > 0 && anyCancelled(reports, holdStep):
		c.phase = Arming
		return c.cancel(reports, holdStep, inForce, version)
	case armed > 0 && (holdStep == 0 || !c.canComplete(reports, holdStep)):
		return c.disarm(reports)
	case holdStep > 0:
		return c.arm(reports, holdStep, inForce, version)
	default:
		return c.advance(reports)
	}
}

// allReported reports whether all ranks were read, in one epoch of an open group.
func (c *Coordinator) allReported(reports []Report) bool {
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

// mapsDiffer reports whether the ranks report different maps in force. Ranks are
// read at different moments, so this happens while they switch.
func (c *Coordinator) mapsDiffer(reports []Report) bool {
	for _, r := range reports {
		if r.InForce != reports[0].InForce {
			return true
		}
	}
	return false
}

// release ends all holds of the group.
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

// canComplete reports whether the ranks that aren't armed yet can be armed for the
// same switch as the others.
func (c *Coordinator) canComplete(reports []Report, holdStep int64) bool {
	var common *ArmedSwitch
	for _, r := range reports {
		switch {
		case r.Armed == nil:
		case common == nil:
			common = r.Armed
		case *common != *r.Armed:
			return false
		}
	}
	if common == nil || common.Step != holdStep {
		return false
	}
	for _, r := range reports {
		if r.Armed == nil && r.Prepared != common.Version {
			return false
		}
	}
	return true
}

// disarm disarms all armed ranks, for a switch that can't be completed.
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

// arm arms the ranks of a held group, so that it can be released. If no newer
// version is prepared on all ranks, they first prepare a copy of the map in force,
// for which they copy no experts.
func (c *Coordinator) arm(reports []Report, holdStep int64, inForce *experts.Map, version int64) []Order {
	prepared, same := commonPrepared(reports)
	if !same || prepared <= reports[0].InForce {
		if c.target == nil || c.targetSuperseded(reports) {
			c.target = &target{version: version, expertMap: inForce}
		}
		return c.prepare(reports)
	}
	c.phase = Arming
	var out []Order
	issuerIndex := -1
	for i, r := range reports {
		switch {
		case r.Armed != nil:
		case r.Rank == c.issuer.Rank:
			issuerIndex = i
		default:
			out = append(out, Order{Rank: r.Rank, Kind: Arm, Epoch: r.Epoch, Version: prepared, Step: holdStep})
		}
	}
	if len(out) == 0 && issuerIndex >= 0 {
		r := reports[issuerIndex]
		out = append(out, Order{Rank: r.Rank, Kind: Arm, Epoch: r.Epoch, Version: prepared, Step: holdStep})
	}
	return out
}

// CancelWithoutHolder returns the orders that release a held group when neither the
// holder nor its rank can be reached. That rank must be the only one missing from
// reports. inForce holds the experts of the other ranks. version must be higher
// than every version that any rank has had.
func (c *Coordinator) CancelWithoutHolder(reports []Report, inForce *experts.Map, version int64) []Order {
	c.phase = Unknown
	holdStep := lowestHoldStep(reports)
	if !c.onlyHolderMissing(reports) || holdStep == 0 {
		return nil
	}
	return c.cancel(reports, holdStep, inForce, version)
}

// cancel ends a hold without a switch. The issuer arms its own rank only when all
// other ranks are armed at the same time. As soon as one of them can no longer be
// armed, the issuer's rank can't be armed either, even if the holder is merely slow
// and continues. The armed ranks are therefore disarmed as soon as one rank that
// isn't armed refuses.
func (c *Coordinator) cancel(reports []Report, holdStep int64, inForce *experts.Map, version int64) []Order {
	refusing, armed := 0, countArmed(reports)
	for _, r := range reports {
		if r.cannotBeArmed(holdStep) {
			refusing++
		}
	}
	switch {
	case refusing > 0 && armed > 0:
		return c.disarm(reports)
	case refusing == len(reports):
		return c.release(reports)
	default:
		// If all reporting ranks are armed, the issuer's rank may be armed too, and
		// no order is sent.
		return cancelUnarmed(reports, holdStep, inForce, version)
	}
}

// cancelUnarmed returns orders that make the ranks that aren't armed refuse to be
// armed for a step.
func cancelUnarmed(reports []Report, holdStep int64, inForce *experts.Map, version int64) []Order {
	var out []Order
	for _, r := range reports {
		if r.Armed != nil || r.acceptedCancel(holdStep) {
			continue
		}
		out = append(out, Order{
			Rank: r.Rank, Kind: Prepare, Epoch: r.Epoch, Version: version, Map: inForce, CancelsStep: holdStep,
		})
	}
	return out
}

// onlyHolderMissing reports whether all ranks but that of the newest holder were
// read, in one epoch of an open group. It sets the issuer to that holder.
func (c *Coordinator) onlyHolderMissing(reports []Report) bool {
	if len(reports) != c.config.Ranks-1 || len(reports) == 0 || c.mapsDiffer(reports) {
		return false
	}
	c.issuer = newestHolder(reports)
	if c.issuer.Token == 0 {
		return false
	}
	for _, r := range reports {
		if !r.Open || r.Epoch != reports[0].Epoch || r.Rank == c.issuer.Rank {
			return false
		}
	}
	return true
}

// targetSuperseded reports whether a rank has prepared a version that another
// holder issued after the target.
func (c *Coordinator) targetSuperseded(reports []Report) bool {
	for _, r := range reports {
		if r.Prepared > c.target.version {
			return true
		}
	}
	return false
}

// advance returns the next orders towards the target for a group without armed
// ranks and holds.
func (c *Coordinator) advance(reports []Report) []Order {
	if c.target != nil && (reports[0].InForce == c.target.version || c.targetSuperseded(reports)) {
		c.target = nil
	}
	c.seenIdle = true
	c.chooseIssuer(reports)
	if c.target == nil {
		c.phase = Idle
		return nil
	}
	if prepared, same := commonPrepared(reports); !same || prepared != c.target.version {
		return c.prepare(reports)
	}
	c.phase = Holding
	newest := int64(0)
	for _, r := range reports {
		newest = max(newest, r.Step)
	}
	return []Order{{Rank: c.config.HoldRank, Kind: Hold, Epoch: c.epoch, Step: newest + c.config.LeadSteps}}
}

// prepare returns orders to prepare the target for the ranks that have not accepted
// one yet.
func (c *Coordinator) prepare(reports []Report) []Order {
	c.phase = Preparing
	var out []Order
	for _, r := range reports {
		if r.Prepared >= c.target.version || c.requested[r.Rank] == c.target.version {
			continue
		}
		out = append(out, Order{
			Rank: r.Rank, Kind: Prepare, Epoch: r.Epoch, Version: c.target.version, Map: c.target.expertMap,
		})
	}
	return out
}

// MarkAccepted records that a rank has accepted an order, so that it isn't asked
// again for a map that it is preparing.
func (c *Coordinator) MarkAccepted(o Order) {
	if o.Kind == Prepare {
		c.requested[o.Rank] = o.Version
	}
}
