// Package settings defines the settings of the daemons as structs that kong
// parses. Each field is a flag and an environment variable FILBERTMUX_<FLAG>.
// Sizes are in bytes, durations in Go notation such as 1.5s.
//
// Settings are parsed and validated once at start and not changed afterwards.
package settings

import "time"

// Common holds the settings that the entry and the sidecar share.
type Common struct {
	Advertise     string `name:"advertise" validate:"required,hostname_port" help:"Address at which other filbertmux processes reach this one."`
	Region        string `name:"region" validate:"required,max=64" help:"Region of this instance."`
	FailureDomain string `name:"failure-domain" validate:"required,max=64" help:"Failure domain of this instance."`
	Office        string `name:"office" validate:"max=64" help:"Office that runs this instance; only for log lines."`
	Instance      string `name:"instance" validate:"required,max=128" help:"Unique id of this instance in the instance list."`
	PlatformURL   string `name:"platform-url" validate:"required,http_url" help:"URL of the platform services."`
	PeerToken     Secret `name:"peer-token" validate:"max=1024" help:"Shared secret of calls between filbertmux processes; empty accepts any caller."`
	LogLevel      string `name:"log-level" default:"info" validate:"oneof=debug info warn error" help:"Lowest level of log lines."`

	MaxBodyBytes   int `name:"max-body-bytes" default:"4194304" validate:"min=1,max=1073741824" help:"Largest request body in bytes."`
	MaxHeaderBytes int `name:"max-header-bytes" default:"65536" validate:"min=1024,max=16777216" help:"Largest total of request headers in bytes."`

	MemoryLimit    int64 `name:"memory-limit" default:"0" validate:"min=0" help:"Memory of this process in bytes; 0 derives it from the memory of the instance: all of it for an entry, an eighth for a sidecar."`
	MaxConnections int   `name:"max-connections" default:"0" validate:"min=0,max=1000000" help:"Largest number of connections of clients; 0 derives it from the descriptors of the process. Few memory lowers it."`

	InstanceInterval time.Duration `name:"instance-interval" default:"1s" validate:"min=1ms" help:"Time between reads of the instance list."`
	PlatformTimeout  time.Duration `name:"platform-timeout" default:"5s" validate:"min=1ms" help:"Longest wait for a response of the platform, except in long polls."`
	RetentionWindow  time.Duration `name:"retention-window" default:"24h" validate:"min=1s" help:"Time for which claim records are retained in the log."`
	ClockSkew        time.Duration `name:"clock-skew" default:"5m" validate:"min=0" help:"Largest clock difference between callers, instances and the log."`
	DrainTimeout     time.Duration `name:"drain-timeout" default:"0s" validate:"min=0" help:"Time after which a shutdown fails the requests still in flight; 0 waits for all."`

	PrintSettings bool `name:"print-settings" help:"Print the settings in force, with secrets masked, and exit."`
}

// Entry holds the settings of an entry.
type Entry struct {
	Common `embed:""`

	Listen     string `name:"listen" default:":8080" validate:"required,hostname_port" help:"Address for callers."`
	PeerListen string `name:"peer-listen" default:":8081" validate:"required,hostname_port" help:"Address for other filbertmux processes."`

	MaxPromptBytes int `name:"max-prompt-bytes" default:"1048576" validate:"min=1" help:"Largest total of the message contents of a completion in bytes."`
	MaxStreams     int `name:"max-streams" default:"4096" validate:"min=1,max=1000000" help:"Largest number of requests in flight."`
	QueueSize      int `name:"queue-size" default:"1024" validate:"min=1,max=1000000" help:"Largest number of queued requests of each service."`
	MaxConcurrent  int `name:"max-concurrent" default:"0" validate:"min=0,max=1000000" help:"Largest number of requests toward the backend servers of a service; 0 derives it from the usable servers and the live entries."`
	// At the design size, a server has 54 requests in flight at peak (1,500
	// requests/s of 21 s each on 600 servers); 80 leaves a margin of about half.
	ServerConcurrency int `name:"server-concurrency" default:"80" validate:"min=1,max=100000" help:"Requests in flight at each backend server, by all entries together, from which the bound of each entry is derived."`

	RoutingPolicy string `name:"routing-policy" default:"probe_based+prefix+domain" validate:"oneof=probe_based+prefix+domain probe_based+domain power_of_two+domain least_reported+domain round_robin" help:"Policy that picks the backend server of a request."`
	Seed          int    `name:"seed" default:"0" validate:"min=0" help:"Seed of routing and retry delays; 0 picks a random seed and logs it."`

	RequestTimeout  time.Duration `name:"request-timeout" default:"15m" validate:"min=1ms" help:"Longest duration of a request."`
	HeaderTimeout   time.Duration `name:"header-timeout" default:"10s" validate:"min=1ms" help:"Longest wait for the headers of a request."`
	BodyTimeout     time.Duration `name:"body-timeout" default:"30s" validate:"min=1ms" help:"Longest wait for the body of a request."`
	SilenceTimeout  time.Duration `name:"silence-timeout" default:"3s" validate:"min=1ms" help:"Time without any chunk after which a connection to a sidecar counts as silent."`
	ProgressTimeout time.Duration `name:"progress-timeout" default:"60s" validate:"min=1ms,gtfield=SilenceTimeout" help:"Time without progress after which an attempt is given up."`
}

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	Common `embed:""`

	Listen     string `name:"listen" default:":8082" validate:"required,hostname_port" help:"Address for entries and other sidecars."`
	BackendURL string `name:"backend-url" validate:"required,http_url" help:"URL of the backend server beside this process."`
	Service    string `name:"service" validate:"required,max=64" help:"Service that the backend server runs."`
	Group      string `name:"group" validate:"max=64" help:"Rank group of the backend server, if any."`
	Ranks      []int  `name:"ranks" validate:"required_with=Group,max=64,dive,min=0" help:"Ranks of the group that the backend server hosts."`
	GroupRanks int    `name:"group-ranks" validate:"required_with=Group,min=0,max=1024" help:"Number of ranks in the group."`
	RankURL    string `name:"rank-url" validate:"required_with=Group,omitempty,http_url" help:"URL of the rank commands of the backend server."`

	GroupTiming `embed:""`

	MaxInFlight       int           `name:"max-in-flight" default:"256" validate:"min=1,max=100000" help:"Largest number of attempts in flight."`
	ReplayBytes       int           `name:"replay-bytes" default:"262144" validate:"min=1024" help:"Size of the replay buffer of each attempt in bytes."`
	ChunkBytes        int           `name:"chunk-bytes" default:"16384" validate:"min=1,ltefield=ReplayBytes" help:"Largest data chunk in bytes."`
	HeartbeatInterval time.Duration `name:"heartbeat-interval" default:"1s" validate:"min=1ms" help:"Time between heartbeats of a stream."`
	ResumeWindow      time.Duration `name:"resume-window" default:"10s" validate:"min=1ms" help:"Time for which an attempt without connection can be resumed."`
	BackendTimeout    time.Duration `name:"backend-timeout" default:"15m" validate:"min=1ms" help:"Longest duration of a call to the backend server."`
}

// GroupTiming holds the intervals and rates for the control of a rank group. Zero
// selects the built-in default.
type GroupTiming struct {
	LeaseTTL        time.Duration `name:"lease-ttl" default:"0s" validate:"omitempty,min=500ms,max=1h" help:"Time for which the lease of the group outlives its last renewal; 0 takes the default. It is renewed after a third of this time and given up a tenth of it early. All sidecars need the same value."`
	PlanInterval    time.Duration `name:"plan-interval" default:"0s" validate:"omitempty,min=10ms" help:"Time between polls of the expert counts; 0 takes the default."`
	PlanMinInterval time.Duration `name:"plan-min-interval" default:"0s" validate:"omitempty,min=10ms" help:"Shortest time between two plans; 0 takes the default."`
	StepTime        time.Duration `name:"step-time" default:"0s" validate:"omitempty,min=1ms" help:"Usual time of a step of the group; 0 takes the default."`
	SwitchLead      time.Duration `name:"switch-lead" default:"0s" validate:"omitempty,min=1ms" help:"Time between the proposal of a map and its first step; 0 takes the default."`
	VoteTimeout     time.Duration `name:"vote-timeout" default:"0s" validate:"omitempty,min=1ms" help:"Time after which a member asks for missing votes; 0 takes the default."`
	StagingTimeout  time.Duration `name:"staging-timeout" default:"0s" validate:"omitempty,min=10ms" help:"Time after which a plan without all its weights is undone; 0 takes the default. A plan has no more moves than the weight store serves in half of it."`
	MoveCost        time.Duration `name:"move-cost" default:"0s" validate:"omitempty,min=1us" help:"Step time that the move of one expert costs the group; 0 takes the default."`
	StoreRate       float64       `name:"store-rate" default:"0" validate:"omitempty,gt=0,max=1000000" help:"Experts that the weight store serves to the group per second; 0 takes the default."`
}
