// Package fleet holds a gateway's view of a deployment: the configuration that the
// operators publish, and the backend servers that have registered.
//
// The package does no I/O. A Config and an Index are immutable and safe for
// concurrent use; Servers and Freshness aren't.
package fleet

import (
	"slices"
	"time"
)

// RouteKind says whether the requests of a route may be retried.
type RouteKind uint8

// Kinds of routes. The zero value is the most restrictive one.
const (
	// NonIdempotent requests run at most once per attempt of a caller.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a stream of events. They count as
	// non-idempotent unless the route is resumable.
	Streaming
)

// String implements fmt.Stringer, for logs.
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

// Target is a service that gets a part of the requests of a route.
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
	// Timeout is the longest time that a caller may wait.
	Timeout time.Duration
	// LatencyObjective is the time within which a response, or the first event of
	// a stream, should arrive.
	LatencyObjective time.Duration
	// EventGapObjective is the longest gap that should occur between two events of
	// a stream; 0 for routes without streams.
	EventGapObjective time.Duration
	// Priority is the priority class of the route; 0 is the most urgent one.
	Priority int
	// MaxAttempts is the number of backend servers to which one request may be
	// sent.
	MaxAttempts int
	// Public routes require no key.
	Public bool
	// Resumable streams may be continued at another backend server.
	Resumable bool
	// Regions lists the regions in which the requests may run; nil means all.
	Regions []string
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Engine describes the performance of the model engines of a service, as the
// operators state it.
type Engine struct {
	// Slots is the number of requests in a batch.
	Slots int
	// StepsPerPass is the number of steps in one pass of the engine, and so the
	// number of tokens that a pass generates per request.
	StepsPerPass int
	// StepTime is the duration of a step without requests. Each request that
	// generates output adds StepTimePerRequest, and each 1,000 tokens of its context
	// add StepTimePer1KContext.
	StepTime             time.Duration
	StepTimePerRequest   time.Duration
	StepTimePer1KContext time.Duration
	// PrefillTokensPerSecond is the rate at which prompts are processed, and
	// PrefillChunk the maximum number of prompt tokens per step.
	PrefillTokensPerSecond float64
	PrefillChunk           int
	// MeanPromptTokens and MeanOutputTokens are the mean sizes of prompts and
	// responses.
	MeanPromptTokens int
	MeanOutputTokens int
	// MemoryTokens is the number of tokens of context that the memory of a server holds,
	// over all its requests, or 0 if it isn't stated. A server with more crashes.
	MemoryTokens int
	// Experts is nil for engines without expert maps.
	Experts *Experts
}

// Experts describes the expert maps of the rank groups of a service.
type Experts struct {
	// LayerSets is the number of sets of layers that share an expert placement.
	LayerSets int
	// ExpertsPerLayer is the number of experts of a layer.
	ExpertsPerLayer int
	// SlotsPerRank is the maximum number of experts per rank and layer.
	SlotsPerRank int
	// MaxNewPerLayer is the maximum number of experts that a new map may add per
	// rank and layer.
	MaxNewPerLayer int
	// ExpertMegabytes is the size of one expert.
	ExpertMegabytes float64
	// LinkMbps is the rate at which a rank copies experts, in Mbit/s.
	LinkMbps float64
	// WorkShare is the fraction of the work per token that is done in experts.
	WorkShare float64
	// FormationTime is the time from the failure of a rank group until it serves
	// again.
	FormationTime time.Duration
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is the maximum number of connections to one backend server,
	// over all its clients.
	MaxConnections int
	// Engine is nil for services without models.
	Engine *Engine
	// Cold describes the servers that have just started or have become cold.
	Cold ColdStart
}

// ColdStart describes the cold servers of a service.
type ColdStart struct {
	// Duration is how long a server is cold after its start.
	Duration time.Duration
	// RequestsPerSecond is the rate that a cold server takes from all gateways together,
	// or 0 if its servers take as many as warm ones. With many more it crashes.
	RequestsPerSecond float64
}

// Organisation is an organisation with its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions lists the regions in which the requests of the organisation may run; nil
	// means all.
	Regions []string
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout is the maximum time to receive the headers of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time for which a connection stays idle.
	IdleTimeout time.Duration
}

// Config is one version of the configuration.
type Config struct {
	// Version increases with each change, but not necessarily by 1.
	Version int64
	Routes  []Route
	// Services is indexed by name.
	Services map[string]Service
	// Organisations is nil if requests need no keys.
	Organisations []Organisation
	Limits        Limits
}

// EventGapObjective returns the shortest event gap objective of the routes to a
// service, or 0 if none has one.
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
