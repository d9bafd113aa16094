package table

import (
	"fmt"
	"iter"
	"maps"
	"math"
	"slices"
	"strconv"
)

// reserveUnits per 1 is the resolution of the sum of reserves. Whole units make
// the sum independent of the order of addition.
const reserveUnits = 1_000_000

// checkRules returns the faults that involve more than one row. The rules hold
// for the table as a whole, so a deletion can break the rule of another row.
func checkRules(entries map[Key]Entry) []Fault {
	if len(runRules(entries, maps.Keys(entries))) == 0 {
		return nil
	}
	// Only a refusal needs the rows in order, so that the faults of all
	// readers name the same rows.
	faults := runRules(entries, slices.Values(sortedKeys(entries)))
	sortFaults(faults)
	return faults
}

func runRules(entries map[Key]Entry, keys iter.Seq[Key]) []Fault {
	r := ruleCheck{
		entries:    entries,
		keyHashes:  make(map[string]string),
		priorities: make(map[int]string),
		shapes:     make(map[string]string),
	}
	for key := range keys {
		r.checkRow(key, entries[key].Row)
	}
	if r.reserveSum > toReserveUnits(maxReserveSum) {
		r.add(Key{KindClass, "*"}, "reserve", formatFloat(float64(r.reserveSum)/reserveUnits),
			"the reserves of all classes may add up to at most "+formatFloat(maxReserveSum)+" fraction of capacity")
	}
	return r.faults
}

func toReserveUnits(reserve float64) int64 { return int64(math.Round(reserve * reserveUnits)) }

type ruleCheck struct {
	entries    map[Key]Entry
	keyHashes  map[string]string // key hash -> organisation
	priorities map[int]string    // priority -> class
	shapes     map[string]string // service, method and shape -> path
	reserveSum int64             // 1 is reserveUnits
	faults     []Fault
}

func (r *ruleCheck) add(key Key, column, value, reason string) {
	r.faults = append(r.faults, Fault{Row: key.String(), Column: column, Value: value, Reason: reason})
}

func (r *ruleCheck) checkRow(key Key, row Row) {
	switch key.Kind {
	case KindClass:
		r.checkClass(key, row.Class)
	case KindOrganisation:
		r.checkOrganisation(key, row.Organisation)
	case KindWeight:
		r.checkPart(key, row, Key{KindOrganisation, row.Weight.Organisation})
	case KindLimit:
		r.checkPart(key, row, Key{KindOrganisation, row.Limit.Organisation})
	case KindService:
		r.checkClassExists(key, "default_class", row.Service.DefaultClass)
	case KindRoute:
		r.checkPart(key, row, Key{KindService, row.Route.Service})
		r.checkRoute(key, row.Route)
	case KindCapability:
		r.checkPart(key, row, Key{KindService, row.Capability.Service})
	}
}

func (r *ruleCheck) checkClass(key Key, c *Class) {
	r.reserveSum += toReserveUnits(c.Reserve)
	if other, taken := r.priorities[c.Priority]; taken {
		r.add(key, "priority", strconv.Itoa(c.Priority), fmt.Sprintf("class %s has this priority already", other))
		return
	}
	r.priorities[c.Priority] = c.Name
}

func (r *ruleCheck) checkOrganisation(key Key, o *Organisation) {
	if o.Class != "" {
		r.checkClassExists(key, "class", o.Class)
	}
	if other, taken := r.keyHashes[o.KeySHA256]; taken {
		r.add(key, "key_sha256", o.KeySHA256, fmt.Sprintf("organisation %s has this key already", other))
		return
	}
	r.keyHashes[o.KeySHA256] = o.Name
}

func (r *ruleCheck) checkClassExists(key Key, column, class string) {
	if _, ok := r.entries[Key{KindClass, class}]; !ok {
		r.add(key, column, class, "there is no class with this name")
	}
}

// checkPart checks a row that describes part of another row. Both have the
// same office, so that one office cannot limit an organisation of the other.
func (r *ruleCheck) checkPart(key Key, row Row, parent Key) {
	e, ok := r.entries[parent]
	if !ok {
		r.add(key, string(parent.Kind), parent.ID, "there is no "+string(parent.Kind)+" with this name")
		return
	}
	if e.Row.Office != row.Office {
		r.add(key, "office", row.Office, fmt.Sprintf("%s belongs to office %s", parent, e.Row.Office))
	}
}

func (r *ruleCheck) checkRoute(key Key, route *Route) {
	s, ok := r.entries[Key{KindService, route.Service}]
	if ok && s.Row.Service.Kind != PlainService {
		r.add(key, "service", route.Service, "routes are for plain services; this is a model service")
	}
	p, err := parsePattern(route.Path)
	if err != nil {
		return // reported by Row.Validate
	}
	id := routeID(route.Service, route.Method, p.shape())
	if other, taken := r.shapes[id]; taken {
		r.add(key, "path", route.Path, fmt.Sprintf("route %s %s matches the same paths", route.Method, other))
		return
	}
	r.shapes[id] = route.Path
}
