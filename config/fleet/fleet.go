// Package fleet holds what a gateway knows of a deployment: the configuration
// that the operators publish, and the backend servers that have registered.
//
// The package does no I/O. A Config and an Index are immutable and safe for
// concurrent use; Servers and Freshness have one owner.
package fleet

import (
	"slices"
	"time"
)

// RouteKind says what may be repeated on a route.
type RouteKind uint8

// Kinds of routes. The zero value is the one that allows least.
const (
	// NonIdempotent requests run at most once for each attempt of a caller.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a series of events. They count as
	// non-idempotent unless the route is resumable.
	Streaming
)

// String returns the name of k in logs.
func (k RouteKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non_idempotent"
	}
}

// Target is a service that a route sends a part of its requests to.
type Target struct {
	Service string
	// Weight is relative to the weights of the other targets of the route.
	Weight int
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	Targets    []Target
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, is on time.
	LatencyObjective time.Duration
	// PauseObjective is the longest pause between two events of a stream that
	// is on time; 0 without events.
	EventGapObjective time.Duration
	// Priority is the class of the route; 0 is the most urgent one.
	Priority int
	// MaxAttempts is the number of backend servers that one request may be
	// sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued at another backend server.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Engine is the pace of the model engines of a service, as the operators
// state it.
type Engine struct {
	// Slots is the number of requests in a batch.
	Slots int
	// Stride is the number of steps, and so of tokens, of one pass.
	StepsPerPass int
	// Step is the time of a step without requests, StepPerRequest what each
	// request that writes adds to it, and StepPerContext what 1,000 tokens of
	// its context add.
	StepTime             time.Duration
	StepTimePerRequest   time.Duration
	StepTimePer1KContext time.Duration
	// PromptTokensPerSecond is the pace at which prompts are read, and
	// PromptChunk the most prompt tokens of one step.
	PrefillTokensPerSecond float64
	PrefillChunk           int
	// UsualPrompt and UsualAnswer are mean sizes in tokens.
	MeanPromptTokens int
	MeanOutputTokens int
	// Experts is nil for engines without expert maps.
	Experts *Experts
}

// Experts describes the expert maps of the rank groups of a service.
type Experts struct {
	// Layers is the number of sets of layers that share a placement.
	LayerSets int
	// PerLayer is the number of experts of a layer.
	ExpertsPerLayer int
	// SlotsPerRank is the largest number of experts of one rank and layer.
	SlotsPerRank int
	// NewPerLayer is the largest number of experts of one rank and layer that
	// one map may add.
	MaxNewPerLayer int
	// ExpertMegabytes is the size of one expert.
	ExpertMegabytes float64
	// LinkMbps is the rate at which a rank copies experts.
	LinkMbps float64
	// Share is the part of the work for tokens that goes to experts.
	WorkShare float64
	// Form is the time that a group needs to open after it was broken.
	FormationTime time.Duration
}

// Service is a set of equal backend servers.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections bounds the connections to one backend server, from all
	// callers together.
	MaxConnections int
	// Engine is nil for services that run no model.
	Engine *Engine
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority replaces that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout bounds the time for the headers of a request.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time for which a connection stays idle.
	IdleTimeout time.Duration
}

// Config is one version of the configuration.
type Config struct {
	// Version increases with each change, in uneven steps.
	Version int64
	Routes  []Route
	// Services is indexed by name.
	Services map[string]Service
	// Organisations is nil if requests carry no keys.
	Organisations []Organisation
	Limits        Limits
}

// EventGapObjective returns the shortest pause objective of the routes to a service,
// or 0 if none has one.
func (c *Config) EventGapObjective(service string) time.Duration {
	shortest := time.Duration(0)
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.EventGapObjective <= 0 || !slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service }) {
			continue
		}
		if shortest == 0 || r.EventGapObjective < shortest {
			shortest = r.EventGapObjective
		}
	}
	return shortest
}
