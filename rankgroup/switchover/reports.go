package switchover

func lastGiver(reports []Report) Holder {
	var last Holder
	for _, r := range reports {
		if r.OrderedBy.Token > last.Token {
			last = r.OrderedBy
		}
	}
	return last
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

func sameArms(reports []Report) bool {
	for _, r := range reports {
		if *r.Armed != *reports[0].Armed {
			return false
		}
	}
	return true
}

// anyHeld returns the lowest step at which a rank holds the group, or 0.
func anyHeld(reports []Report) int64 {
	lowest := int64(0)
	for _, r := range reports {
		if r.HoldStep > 0 && (lowest == 0 || r.HoldStep < lowest) {
			lowest = r.HoldStep
		}
	}
	return lowest
}

func samePrepared(reports []Report) (int64, bool) {
	for _, r := range reports {
		if r.Prepared != reports[0].Prepared {
			return 0, false
		}
	}
	return reports[0].Prepared, true
}

// cancelled reports whether the rank was told to refuse to be armed for a step.
func (r Report) cancelled(step int64) bool {
	return r.Cancelled.Step >= step && r.Cancelled.Version > 0
}

// refuses reports whether the rank can't be armed for a step any more: its agent
// takes no order to, and a newer version prepared makes void those that passed the
// agent before.
func (r Report) refuses(step int64) bool {
	return r.Armed == nil && r.cancelled(step) && r.Prepared >= r.Cancelled.Version
}

// anyCancelled reports whether an agent refuses to have its rank armed for a step.
func anyCancelled(reports []Report, step int64) bool {
	for _, r := range reports {
		if r.Cancelled.Step >= step {
			return true
		}
	}
	return false
}
