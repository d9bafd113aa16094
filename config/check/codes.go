package check

import (
	"maps"
	"slices"
)

// Code is the kind of a finding. The list is closed.
type Code string

// What the processes refuse.
const (
	// InvalidFile is a file that can't be decoded.
	InvalidFile Code = "invalid_file"
	// Unservable is a configuration with which no process can serve.
	Unservable Code = "unservable"
	// VersionNotHigher is a version that processes ignore, because they have it or a
	// higher one.
	VersionNotHigher Code = "version_not_higher"
	// InvalidRow is a row of the table, or a rule between rows, that is refused.
	InvalidRow Code = "invalid_row"
)

// Entries that can never match, or don't as they look.
const (
	NoVersion               Code = "no_version"
	NoRoutes                Code = "no_routes"
	HiddenRoute             Code = "hidden_route"
	UnreachableRoute        Code = "unreachable_route"
	OpenPrefix              Code = "open_prefix"
	UnknownRouteKind        Code = "unknown_route_kind"
	TargetWithoutWeight     Code = "target_without_weight"
	UndefinedService        Code = "undefined_service"
	UnusedService           Code = "unused_service"
	DuplicateName           Code = "duplicate_name"
	DuplicateField          Code = "duplicate_field"
	NoOrganisations         Code = "no_organisations"
	OrganisationWithoutKeys Code = "organisation_without_keys"
	DuplicateKey            Code = "duplicate_key"
	EmptyKey                Code = "empty_key"
	UnusableKey             Code = "unusable_key"
	UnknownRegion           Code = "unknown_region"
	DisjointRegions         Code = "disjoint_regions"
	// UnusedClass, ServiceWithoutRoutes and LimitWithoutEffect are rows of the table.
	UnusedClass          Code = "unused_class"
	ServiceWithoutRoutes Code = "service_without_routes"
	LimitWithoutEffect   Code = "limit_without_effect"
)

// Limits that contradict each other, or what processes can carry.
const (
	AttemptsExceedTimeout    Code = "attempts_exceed_timeout"
	ObjectiveExceedsTimeout  Code = "objective_exceeds_timeout"
	GapExceedsTimeout        Code = "gap_exceeds_timeout"
	GapExceedsObjective      Code = "gap_exceeds_objective"
	PassExceedsGap           Code = "pass_exceeds_gap"
	ExpertsExceedPlanner     Code = "experts_exceed_planner"
	HeaderTimeoutExceedsIdle Code = "header_timeout_exceeds_idle"
	LimitExceedsMemory       Code = "limit_exceeds_memory"
	NegativeNumber           Code = "negative_number"
	RetryRatioUnused         Code = "retry_ratio_unused"
	FileExceedsStore         Code = "file_exceeds_store"
)

// What differs from another version.
const (
	Added   Code = "added"
	Changed Code = "changed"
	Removed Code = "removed"
)

var severities = map[Code]Severity{
	InvalidFile: Error, Unservable: Error, VersionNotHigher: Error, InvalidRow: Error,

	NoVersion: Warning, NoRoutes: Warning, HiddenRoute: Warning, UnreachableRoute: Warning, OpenPrefix: Warning,
	UnknownRouteKind: Warning, TargetWithoutWeight: Warning, UndefinedService: Warning,
	UnusedService: Warning, DuplicateName: Warning, DuplicateField: Warning,
	NoOrganisations: Warning, OrganisationWithoutKeys: Warning, DuplicateKey: Warning,
	EmptyKey: Warning, UnusableKey: Warning, UnknownRegion: Warning, DisjointRegions: Warning,
	UnusedClass: Warning, ServiceWithoutRoutes: Warning, LimitWithoutEffect: Warning,

	AttemptsExceedTimeout: Warning, ObjectiveExceedsTimeout: Warning, GapExceedsTimeout: Warning,
	GapExceedsObjective: Warning, PassExceedsGap: Warning, ExpertsExceedPlanner: Warning,
	HeaderTimeoutExceedsIdle: Warning, LimitExceedsMemory: Warning, NegativeNumber: Warning,
	RetryRatioUnused: Warning, FileExceedsStore: Warning,

	Added: Difference, Changed: Difference, Removed: Difference,
}

// Severity returns the severity of the findings with this code.
func (c Code) Severity() Severity { return severities[c] }

// Codes returns all codes, sorted.
func Codes() []Code { return slices.Sorted(maps.Keys(severities)) }
