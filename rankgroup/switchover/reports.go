package switchover

// newestHolder returns the holder with the highest token that sent an order to a
// rank, or the zero value.
func newestHolder(reports []Report) Holder {
	var newest Holder
	for _, r := range reports {
		if r.OrderedBy.Token > newest.Token {
			newest = r.OrderedBy
		}
	}
	return newest
}

func countArmed(reports []Report) int {
	n := 0
	for _, r := range reports {
		if r.Armed != nil {
			n++
		}
	}
	return n
}

// armedAlike reports whether all ranks are armed for the same switch. Every rank
// must be armed.
func armedAlike(reports []Report) bool {
	for _, r := range reports {
		if *r.Armed != *reports[0].Armed {
			return false
		}
	}
	return true
}

// lowestHoldStep returns the lowest step at which a rank holds the group, or 0.
func lowestHoldStep(reports []Report) int64 {
	lowest := int64(0)
	for _, r := range reports {
		if r.HoldStep > 0 && (lowest == 0 || r.HoldStep < lowest) {
			lowest = r.HoldStep
		}
	}
	return lowest
}

// commonPrepared returns the prepared version if it is the same on all ranks.
func commonPrepared(reports []Report) (int64, bool) {
	for _, r := range reports {
		if r.Prepared != reports[0].Prepared {
			return 0, false
		}
	}
	return reports[0].Prepared, true
}

// acceptedCancel reports whether the rank has accepted an order that cancels the
// switch at a step.
func (r Report) acceptedCancel(step int64) bool {
	return r.Cancelled.Step >= step && r.Cancelled.Version > 0
}

// cannotBeArmed reports whether the rank can no longer be armed for a step. Its
// agent forwards no more arm orders for the step, and the rank refuses those
// forwarded before because it has prepared a newer version.
func (r Report) cannotBeArmed(step int64) bool {
	return r.Armed == nil && r.acceptedCancel(step) && r.Prepared >= r.Cancelled.Version
}

// anyCancelled reports whether any agent refuses to arm its rank for a step.
func anyCancelled(reports []Report, step int64) bool {
	for _, r := range reports {
		if r.Cancelled.Step >= step {
			return true
		}
	}
	return false
}
