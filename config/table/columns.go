package table

import (
	"math"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// Limits on column values. They are also documented in docs/operators.md.
const (
	maxNameLength = 64
	maxPathLength = 256
	maxPriority   = 99
	maxReserve    = 0.5
	// maxReserveSum leaves a tenth of the capacity to be shared by strict
	// priority.
	maxReserveSum        = 0.9
	minWeight            = 0.01
	maxWeight            = 1000
	maxRequestsPerSecond = 100_000
	maxTokensPerSecond   = 100_000_000
	maxInFlight          = 1_000_000
	maxCostWeight        = 1000
	// maxFailureDomainLength is that of the setting failure-domain, in characters.
	maxFailureDomainLength = 64
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methods     = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}
)

// column describes one column of a row kind: its CSV name, the field that holds
// its value and the check of that value. cell returns a *string, *ServiceKind,
// *float64, *int or *bool.
type column struct {
	name  string
	cell  func(*Row) any
	check func(cell any) error
}

var officeColumn = column{"office", func(r *Row) any { return &r.Office }, checkName}

var columnsByKind = map[Kind][]column{
	KindClass: {
		{"name", func(r *Row) any { return &r.Class.Name }, checkName},
		{"priority", func(r *Row) any { return &r.Class.Priority }, intBetween(0, maxPriority, "")},
		{"reserve", func(r *Row) any { return &r.Class.Reserve }, floatBetween(0, maxReserve, "fraction of capacity")},
		officeColumn,
	},
	KindOrganisation: {
		{"name", func(r *Row) any { return &r.Organisation.Name }, checkName},
		{"key_sha256", func(r *Row) any { return &r.Organisation.KeySHA256 }, checkHash},
		{"class", func(r *Row) any { return &r.Organisation.Class }, checkOptionalName},
		officeColumn,
	},
	KindWeight: {
		{"organisation", func(r *Row) any { return &r.Weight.Organisation }, checkName},
		{"weight", func(r *Row) any { return &r.Weight.Weight }, floatBetween(minWeight, maxWeight, "")},
		officeColumn,
	},
	KindLimit: {
		{"organisation", func(r *Row) any { return &r.Limit.Organisation }, checkName},
		{"requests_per_second", func(r *Row) any { return &r.Limit.RequestsPerSecond }, floatBetween(0, maxRequestsPerSecond, "requests/s")},
		{"tokens_per_second", func(r *Row) any { return &r.Limit.TokensPerSecond }, floatBetween(0, maxTokensPerSecond, "tokens/s")},
		{"in_flight", func(r *Row) any { return &r.Limit.InFlight }, intBetween(0, maxInFlight, "requests in flight")},
		officeColumn,
	},
	KindService: {
		{"name", func(r *Row) any { return &r.Service.Name }, checkName},
		{"kind", func(r *Row) any { return &r.Service.Kind }, checkServiceKind},
		{"region", func(r *Row) any { return &r.Service.Region }, checkName},
		{"skew_weight", func(r *Row) any { return &r.Service.SkewWeight }, floatBetween(0, maxCostWeight, "")},
		{"rebalance_weight", func(r *Row) any { return &r.Service.RebalanceWeight }, floatBetween(0, maxCostWeight, "")},
		{"default_class", func(r *Row) any { return &r.Service.DefaultClass }, checkName},
		officeColumn,
	},
	KindRoute: {
		{"service", func(r *Row) any { return &r.Route.Service }, checkName},
		{"method", func(r *Row) any { return &r.Route.Method }, checkMethod},
		{"path", func(r *Row) any { return &r.Route.Path }, checkPath},
		{"idempotent", func(r *Row) any { return &r.Route.Idempotent }, checkBool},
		officeColumn,
	},
	KindCapability: {
		{"service", func(r *Row) any { return &r.Capability.Service }, checkName},
		{"checks_fencing_tokens", func(r *Row) any { return &r.Capability.ChecksFencingTokens }, checkBool},
		officeColumn,
	},
	KindEvacuation: {
		{"failure_domain", func(r *Row) any { return &r.Evacuation.FailureDomain }, checkFailureDomain},
		officeColumn,
	},
}

// Columns returns the names of the columns of a row kind.
func Columns(k Kind) []string {
	var names []string
	for _, c := range columnsByKind[k] {
		names = append(names, c.name)
	}
	return names
}

// Validate returns all faults that can be found in the row alone. Rules that
// involve other rows are checked by checkRules.
func (r Row) Validate() []Fault {
	key, ok := r.Key()
	if !ok {
		return []Fault{{Row: "?", Column: "kind", Reason: "want a row of exactly one kind"}}
	}
	var faults []Fault
	for _, c := range columnsByKind[key.Kind] {
		cell := c.cell(&r)
		if err := c.check(cell); err != nil {
			faults = append(faults, Fault{Row: key.String(), Column: c.name, Value: formatCell(cell), Reason: err.Error()})
		}
	}
	return faults
}

func cellText(cell any) string {
	switch v := cell.(type) {
	case *string:
		return *v
	case *ServiceKind:
		return string(*v)
	default:
		return ""
	}
}

func checkName(cell any) error {
	s := cellText(cell)
	if len(s) > maxNameLength || !namePattern.MatchString(s) {
		return errors.Errorf("want 1 to %d lower-case letters, digits, dots and hyphens, with a letter or digit at both ends", maxNameLength)
	}
	return nil
}

func checkOptionalName(cell any) error {
	if cellText(cell) == "" {
		return nil
	}
	return checkName(cell)
}

// checkFailureDomain accepts more than checkName, because instances take their
// failure domain from settings, and the table must be able to name each of them.
func checkFailureDomain(cell any) error {
	s := cellText(cell)
	length := utf8.RuneCountInString(s)
	isUnprintable := func(c rune) bool { return !unicode.IsPrint(c) }
	if length == 0 || length > maxFailureDomainLength || !utf8.ValidString(s) ||
		strings.TrimSpace(s) != s || strings.ContainsFunc(s, isUnprintable) {
		return errors.Errorf("want 1 to %d printable characters, without a space at either end", maxFailureDomainLength)
	}
	return nil
}

func checkHash(cell any) error {
	if !hashPattern.MatchString(cellText(cell)) {
		return errors.New("want the SHA-256 hash of the API key as 64 lower-case hexadecimal digits")
	}
	return nil
}

func checkServiceKind(cell any) error {
	k := ServiceKind(cellText(cell))
	if k != ModelService && k != PlainService {
		return errors.Errorf("want %s or %s", ModelService, PlainService)
	}
	return nil
}

func checkMethod(cell any) error {
	if !slices.Contains(methods, cellText(cell)) {
		return errors.Errorf("want one of %s", strings.Join(methods, ", "))
	}
	return nil
}

func checkPath(cell any) error {
	s := cellText(cell)
	if len(s) > maxPathLength {
		return errors.Errorf("want at most %d bytes", maxPathLength)
	}
	_, err := parsePattern(s)
	return err
}

func checkBool(any) error { return nil }

func intBetween(low, high int, unit string) func(any) error {
	return func(cell any) error {
		v := *cell.(*int)
		if v < low || v > high {
			return errors.Errorf("want a whole number from %d to %d%s", low, high, unitSuffix(unit))
		}
		return nil
	}
}

func floatBetween(low, high float64, unit string) func(any) error {
	return func(cell any) error {
		v := *cell.(*float64)
		if !(v >= low && v <= high) { // written this way to reject NaN as well
			return errors.Errorf("want a number from %s to %s%s", formatFloat(low), formatFloat(high), unitSuffix(unit))
		}
		return nil
	}
}

func unitSuffix(unit string) string {
	if unit == "" {
		return ""
	}
	return " " + unit
}

func formatFloat(v float64) string {
	if math.Abs(v) < 1e15 {
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

func formatCell(cell any) string {
	switch v := cell.(type) {
	case *float64:
		return formatFloat(*v)
	case *int:
		return strconv.Itoa(*v)
	case *bool:
		if *v {
			return "yes"
		}
		return "no"
	default:
		return cellText(cell)
	}
}

func parseCell(cell any, s string, decimalComma bool) error {
	switch v := cell.(type) {
	case *string:
		*v = s
	case *ServiceKind:
		*v = ServiceKind(s)
	case *int:
		n, err := strconv.Atoi(s)
		if err != nil {
			return errors.New("want a whole number without separators")
		}
		*v = n
	case *float64:
		if decimalComma {
			s = strings.Replace(s, ",", ".", 1)
		}
		n, err := strconv.ParseFloat(s, 64)
		if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
			return errors.New("want a number without thousands separators")
		}
		*v = n
	case *bool:
		return parseBool(v, s)
	}
	return nil
}

func parseBool(v *bool, s string) error {
	switch strings.ToLower(s) {
	case "yes", "true":
		*v = true
	case "no", "false":
		*v = false
	default:
		return errors.New("want yes or no")
	}
	return nil
}
