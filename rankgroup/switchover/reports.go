package switchover

func lastGiver(reports []Report) Giver {
	var last Giver
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
		if r.Held > 0 && (lowest == 0 || r.Held < lowest) {
			lowest = r.Held
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
