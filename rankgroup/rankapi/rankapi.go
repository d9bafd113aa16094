// Package rankapi defines the HTTP API through which a sidecar controls the
// ranks of its backend server. Bodies are JSON, except for weights, which are
// raw bytes.
//
//	GET  /v1/ranks                                  Response
//	POST /v1/ranks                                  Batch -> Response
//	GET  /v1/ranks/report                           Report
//	PUT  /v1/ranks/{rank}/weights/{layer}/{expert}  weights of one expert
package rankapi

import (
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/mapswitch"
)

// Paths of the API.
const (
	RanksPath  = "/v1/ranks"
	ReportPath = RanksPath + "/report"
)

// Batch holds commands that the ranks run in order. A backend server refuses a
// batch with a lower Session than one it has seen, and a batch whose Seq is not
// above the last one of its session. Commands of an earlier sidecar, or commands
// overtaken by later ones on another connection, therefore never take effect.
type Batch struct {
	// Session is the incarnation of the sidecar.
	Session  uint64    `json:"session"`
	Seq      uint64    `json:"seq"`
	Commands []Command `json:"commands,omitempty"`
}

// Command is a command to the listed ranks. Exactly one of Stage, Hold and
// Release is set.
type Command struct {
	Ranks   []mapswitch.RankID     `json:"ranks"`
	Stage   *mapswitch.StageRank   `json:"stage,omitempty"`
	Hold    *mapswitch.HoldRank    `json:"hold,omitempty"`
	Release *mapswitch.ReleaseRank `json:"release,omitempty"`
}

// Response is the state of all ranks of a backend server.
type Response struct {
	// Session is the highest session that the backend server has seen.
	Session uint64       `json:"session"`
	Ranks   []RankStatus `json:"ranks"`
}

// RankStatus is the state of one rank, with the weights of its plan that it has not
// received yet.
type RankStatus struct {
	State   mapswitch.RankState `json:"state"`
	Missing []WeightsID         `json:"missing,omitempty"`
}

// WeightsID identifies the weights of one expert on one rank.
type WeightsID struct {
	Rank   mapswitch.RankID `json:"rank"`
	Layer  int              `json:"layer"`
	Expert experts.Expert   `json:"expert"`
}

// Report is what the planner needs to know about a backend server.
type Report struct {
	Experts      int `json:"experts"`
	SlotsPerRank int `json:"slots_per_rank"`
	// Map is the map in force.
	Map experts.Map `json:"map"`
	// Counts are the tokens since the start of the backend server, by layer
	// and expert, as of CountsAgeMS ago.
	Counts      [][]uint64 `json:"counts"`
	CountsAgeMS uint64     `json:"counts_age_ms"`
	// StepTimeUS is the compute time of a step on each rank, or 0 if the rank
	// is stalled.
	StepTimeUS []uint64 `json:"step_time_us"`
}
