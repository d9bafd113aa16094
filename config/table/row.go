package table

import (
	"cmp"
	"maps"
	"slices"

	"github.com/filbertmux/filbertmux/base/infra"
)

// Kind is the kind of a row. Each kind has its own CSV file.
type Kind string

// Row kinds.
const (
	KindClass        Kind = "class"
	KindOrganisation Kind = "organisation"
	KindWeight       Kind = "weight"
	KindLimit        Kind = "limit"
	KindService      Kind = "service"
	KindRoute        Kind = "route"
	KindCapability   Kind = "capability"
	KindEvacuation   Kind = "evacuation"
)

// Kinds returns the row kinds, each after the kinds that its rows refer to.
func Kinds() []Kind { return slices.Clone(kinds) }

var kinds = []Kind{KindClass, KindOrganisation, KindWeight, KindLimit, KindService, KindRoute, KindCapability, KindEvacuation}

// Class is a priority class. Classes with a lower Priority number are served
// first. Reserve is the fraction of capacity that the class is guaranteed even
// if classes of higher priority have enough demand for all of it.
type Class struct {
	Name     string  `json:"name"`
	Priority int     `json:"priority"`
	Reserve  float64 `json:"reserve"`
}

// Organisation is the unit by which requests are limited and billed. KeySHA256
// is the hexadecimal SHA-256 hash of its API key. An empty Class means the
// default class of the called service.
type Organisation struct {
	Name      string `json:"name"`
	KeySHA256 string `json:"key_sha256"`
	Class     string `json:"class"`
}

// Weight is the fair-queueing weight of an organisation inside its class.
type Weight struct {
	Organisation string  `json:"organisation"`
	Weight       float64 `json:"weight"`
}

// Limit bounds the use of all services together by one organisation.
type Limit struct {
	Organisation      string  `json:"organisation"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	TokensPerSecond   float64 `json:"tokens_per_second"`
	InFlight          int     `json:"in_flight"`
}

// ServiceKind is the kind of a service.
type ServiceKind string

// Service kinds.
const (
	ModelService ServiceKind = "model"
	PlainService ServiceKind = "plain"
)

// Service is a model service or a plain service. SkewWeight and
// RebalanceWeight are the relative costs of a straggling rank and of moving
// experts between ranks; they have no effect on a plain service.
type Service struct {
	Name            string      `json:"name"`
	Kind            ServiceKind `json:"kind"`
	Region          string      `json:"region"`
	SkewWeight      float64     `json:"skew_weight"`
	RebalanceWeight float64     `json:"rebalance_weight"`
	DefaultClass    string      `json:"default_class"`
}

// Route declares whether the requests to a plain service that match Method and
// Path are idempotent. Path is a pattern, see parsePattern.
type Route struct {
	Service    string `json:"service"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
}

// Capability declares whether the backend servers of a service reject commands
// with a stale fencing token.
type Capability struct {
	Service             string `json:"service"`
	ChecksFencingTokens bool   `json:"checks_fencing_tokens"`
}

// Evacuation asks the entries to send no new calls to the sidecars of a failure
// domain, for as long as the row exists.
type Evacuation struct {
	FailureDomain string `json:"failure_domain"`
}

// Row is one row of the table: exactly one of the pointers is set. A row must
// not be modified once it is part of a State or View.
type Row struct {
	// Office is the owner of the row: only its change sets can change the row.
	Office       string        `json:"office"`
	Class        *Class        `json:"class,omitempty"`
	Organisation *Organisation `json:"organisation,omitempty"`
	Weight       *Weight       `json:"weight,omitempty"`
	Limit        *Limit        `json:"limit,omitempty"`
	Service      *Service      `json:"service,omitempty"`
	Route        *Route        `json:"route,omitempty"`
	Capability   *Capability   `json:"capability,omitempty"`
	Evacuation   *Evacuation   `json:"evacuation,omitempty"`
}

// Key identifies a row.
type Key struct {
	Kind Kind   `json:"kind"`
	ID   string `json:"id"`
}

// String returns the key as kind/id.
func (k Key) String() string { return string(k.Kind) + "/" + k.ID }

func sortedKeys(entries map[Key]Entry) []Key {
	return slices.SortedFunc(maps.Keys(entries), compareKeys)
}

func compareKeys(a, b Key) int {
	if c := cmp.Compare(kindOrder(a.Kind), kindOrder(b.Kind)); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

func kindOrder(k Kind) int { return slices.Index(kinds, k) }

// newRow returns an empty row of kind k, or false for an unknown kind.
func newRow(k Kind) (Row, bool) {
	switch k {
	case KindClass:
		return Row{Class: &Class{}}, true
	case KindOrganisation:
		return Row{Organisation: &Organisation{}}, true
	case KindWeight:
		return Row{Weight: &Weight{}}, true
	case KindLimit:
		return Row{Limit: &Limit{}}, true
	case KindService:
		return Row{Service: &Service{}}, true
	case KindRoute:
		return Row{Route: &Route{}}, true
	case KindCapability:
		return Row{Capability: &Capability{}}, true
	case KindEvacuation:
		return Row{Evacuation: &Evacuation{}}, true
	default:
		return Row{}, false
	}
}

// Key returns the key of r. The second result is false unless r has exactly
// one kind.
func (r Row) Key() (Key, bool) {
	var keys []Key
	if r.Class != nil {
		keys = append(keys, Key{KindClass, r.Class.Name})
	}
	if r.Organisation != nil {
		keys = append(keys, Key{KindOrganisation, r.Organisation.Name})
	}
	if r.Weight != nil {
		keys = append(keys, Key{KindWeight, r.Weight.Organisation})
	}
	if r.Limit != nil {
		keys = append(keys, Key{KindLimit, r.Limit.Organisation})
	}
	if r.Service != nil {
		keys = append(keys, Key{KindService, r.Service.Name})
	}
	if r.Route != nil {
		keys = append(keys, Key{KindRoute, routeID(r.Route.Service, r.Route.Method, r.Route.Path)})
	}
	if r.Capability != nil {
		keys = append(keys, Key{KindCapability, r.Capability.Service})
	}
	if r.Evacuation != nil {
		keys = append(keys, Key{KindEvacuation, r.Evacuation.FailureDomain})
	}
	if len(keys) != 1 {
		return Key{}, false
	}
	return keys[0], true
}

func routeID(service, method, path string) string { return service + " " + method + " " + path }

// Version is the offset of the record that last changed a row; 0 means that
// the row does not exist.
type Version = infra.Offset

// Entry is a row with its version.
type Entry struct {
	Row     Row     `json:"row"`
	Version Version `json:"version"`
}
