package table

import (
	"fmt"
	"iter"
	"maps"
	"math"
	"slices"
	"strconv"
)

// reserveUnits is the number of integer units that represent a reserve of 1.
// Reserves are added as integers so that the sum does not depend on the order of
// addition.
const reserveUnits = 1_000_000

// checkRules returns the faults that involve more than one row. The rules apply
// to the table as a whole, because a deletion can make another row invalid.
func checkRules(entries map[Key]Entry) []Fault {
	if len(runRuleChecks(entries, maps.Keys(entries))) == 0 {
		return nil
	}
	// If two rows conflict, the one that is checked second is reported. The rows
	// are therefore checked again in sorted order, so that all readers record the
	// same faults. Tables without faults, the common case, are not sorted.
	faults := runRuleChecks(entries, slices.Values(sortedKeys(entries)))
	sortFaults(faults)
	return faults
}

func runRuleChecks(entries map[Key]Entry, keys iter.Seq[Key]) []Fault {
	checker := ruleChecker{
		entries:       entries,
		keyHashes:     make(map[string]string),
		priorities:    make(map[int]string),
		routePatterns: make(map[string]string),
	}
	for key := range keys {
		checker.checkRow(key, entries[key].Row)
	}
	if checker.reserveSum > toReserveUnits(maxReserveSum) {
		checker.addFault(Key{KindClass, "*"}, "reserve", formatFloat(float64(checker.reserveSum)/reserveUnits),
			"the reserves of all classes may add up to at most "+formatFloat(maxReserveSum)+" fraction of capacity")
	}
	return checker.faults
}

func toReserveUnits(reserve float64) int64 { return int64(math.Round(reserve * reserveUnits)) }

type ruleChecker struct {
	entries       map[Key]Entry
	keyHashes     map[string]string // key hash -> organisation
	priorities    map[int]string    // priority -> class
	routePatterns map[string]string // service, method and canonical pattern -> path
	reserveSum    int64             // in reserveUnits
	faults        []Fault
}

func (r *ruleChecker) addFault(key Key, column, value, reason string) {
	r.faults = append(r.faults, Fault{Row: key.String(), Column: column, Value: value, Reason: reason})
}

func (r *ruleChecker) checkRow(key Key, row Row) {
	switch key.Kind {
	case KindClass:
		r.checkClass(key, row.Class)
	case KindOrganisation:
		r.checkOrganisation(key, row.Organisation)
	case KindWeight:
		r.checkParent(key, row, Key{KindOrganisation, row.Weight.Organisation})
	case KindLimit:
		r.checkParent(key, row, Key{KindOrganisation, row.Limit.Organisation})
	case KindService:
		r.checkClassExists(key, "default_class", row.Service.DefaultClass)
	case KindRoute:
		r.checkParent(key, row, Key{KindService, row.Route.Service})
		r.checkRoute(key, row.Route)
	case KindCapability:
		r.checkParent(key, row, Key{KindService, row.Capability.Service})
	}
}

func (r *ruleChecker) checkClass(key Key, c *Class) {
	r.reserveSum += toReserveUnits(c.Reserve)
	if other, taken := r.priorities[c.Priority]; taken {
		r.addFault(key, "priority", strconv.Itoa(c.Priority), fmt.Sprintf("class %s has this priority already", other))
		return
	}
	r.priorities[c.Priority] = c.Name
}

func (r *ruleChecker) checkOrganisation(key Key, o *Organisation) {
	if o.Class != "" {
		r.checkClassExists(key, "class", o.Class)
	}
	if other, taken := r.keyHashes[o.KeySHA256]; taken {
		r.addFault(key, "key_sha256", o.KeySHA256, fmt.Sprintf("organisation %s has this key already", other))
		return
	}
	r.keyHashes[o.KeySHA256] = o.Name
}

func (r *ruleChecker) checkClassExists(key Key, column, class string) {
	if _, ok := r.entries[Key{KindClass, class}]; !ok {
		r.addFault(key, column, class, "there is no class with this name")
	}
}

// checkParent checks that the parent, the row that another row refers to, exists and
// has the same office. Otherwise one office could limit an organisation of another
// office.
func (r *ruleChecker) checkParent(key Key, row Row, parent Key) {
	e, ok := r.entries[parent]
	if !ok {
		r.addFault(key, string(parent.Kind), parent.ID, "there is no "+string(parent.Kind)+" with this name")
		return
	}
	if e.Row.Office != row.Office {
		r.addFault(key, "office", row.Office, fmt.Sprintf("%s belongs to office %s", parent, e.Row.Office))
	}
}

func (r *ruleChecker) checkRoute(key Key, route *Route) {
	s, ok := r.entries[Key{KindService, route.Service}]
	if ok && s.Row.Service.Kind != PlainService {
		r.addFault(key, "service", route.Service, "routes are for plain services; this is a model service")
	}
	p, err := parsePattern(route.Path)
	if err != nil {
		return // reported by Row.Validate
	}
	id := routeID(route.Service, route.Method, p.canonical())
	if other, taken := r.routePatterns[id]; taken {
		r.addFault(key, "path", route.Path, fmt.Sprintf("route %s %s matches the same paths", route.Method, other))
		return
	}
	r.routePatterns[id] = route.Path
}
