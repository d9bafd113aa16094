// Package rankapi defines the HTTP protocol between a sidecar and the ranks of
// its backend server. All bodies are JSON, except that weights are plain bytes.
//
//	GET  /v1/ranks                                  Answer
//	POST /v1/ranks                                  Batch -> Answer
//	GET  /v1/ranks/report                           Report
//	PUT  /v1/ranks/{rank}/weights/{layer}/{expert}  weights of one expert
package rankapi

import (
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/mapswitch"
)

// Paths of the protocol.
const (
	RanksPath  = "/v1/ranks"
	ReportPath = RanksPath + "/report"
)

// Batch holds commands that the ranks perform in order. A backend server
// refuses a batch whose session is lower than one it has seen, and one whose
// Seq does not grow within the session. So commands of an earlier sidecar, or
// those overtaken on another connection, never take effect late.
type Batch struct {
	// Session is the incarnation of the sidecar.
	Session  uint64    `json:"session"`
	Seq      uint64    `json:"seq"`
	Commands []Command `json:"commands,omitempty"`
}

// Command is one command to some ranks. Exactly one of the pointers is set.
type Command struct {
	Ranks   []mapswitch.RankID     `json:"ranks"`
	Stage   *mapswitch.StageRank   `json:"stage,omitempty"`
	Hold    *mapswitch.HoldRank    `json:"hold,omitempty"`
	Release *mapswitch.ReleaseRank `json:"release,omitempty"`
}

// Response is the state of all ranks of a backend server.
type Response struct {
	// Session is the highest session seen.
	Session uint64       `json:"session"`
	Ranks   []RankStatus `json:"ranks"`
}

// RankStatus is the state of one rank and the experts that its plan still lacks.
type RankStatus struct {
	State   mapswitch.RankState `json:"state"`
	Missing []WeightsID         `json:"missing,omitempty"`
}

// WeightsID names the weights of one expert on one rank.
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
	// Counts are tokens since the start, by layer and expert, as of
	// CountsAgeMS ago.
	Counts      [][]uint64 `json:"counts"`
	CountsAgeMS uint64     `json:"counts_age_ms"`
	// StepTimeUS is the computing time of a step on each rank, 0 if stalled.
	StepTimeUS []uint64 `json:"step_time_us"`
}
