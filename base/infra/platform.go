// Package infra defines the platform services that filbertmux depends on (log,
// instance list, weight store) and an HTTP client for them.
//
// Implementations of the interfaces are safe for concurrent use.
package infra

import (
	"context"
	"time"
)

// Offset is the position of a record in a log stream. The first record of a
// stream has offset 1; 0 is the position before it.
type Offset uint64

// Record is one log record. The log service sets Offset and Time.
type Record struct {
	Offset Offset    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Batch is the result of a read. Oldest is the lowest retained offset and End is
// the highest assigned offset. If no records are retained, Oldest is End+1.
type Batch struct {
	Records []Record `json:"records"`
	Oldest  Offset   `json:"oldest"`
	End     Offset   `json:"end"`
}

// Log is the append-only log service.
type Log interface {
	// Append appends one record. An error of kind PlatformRateLimited proves
	// that nothing was appended. After an error of kind PlatformUnavailable
	// the record may have been appended, which the caller determines by
	// reading.
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns up to limit records that follow offset after. If there are
	// none, it waits for one, at most for the duration wait. It fails with kind
	// RecordsTrimmed if after+1 is lower than the oldest retained offset.
	Read(ctx context.Context, stream string, after Offset, limit int, wait time.Duration) (Batch, error)
}

// InstanceState is the state of an instance in the instance list.
type InstanceState string

// Instance states.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Role is the role of an instance.
type Role string

// Instance roles.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
)

// Instance is one row of the instance list. Address is the address at which its
// filbertmux process (entry or sidecar) accepts calls from other processes.
type Instance struct {
	ID            string        `json:"id"`
	Role          Role          `json:"role"`
	Service       string        `json:"service,omitempty"`
	Address       string        `json:"address"`
	FailureDomain string        `json:"failure_domain"`
	Region        string        `json:"region"`
	Group         string        `json:"group,omitempty"`
	Ranks         []int         `json:"ranks,omitempty"`
	State         InstanceState `json:"state"`
}

// InstanceList is the platform's list of instances, which lags behind their actual
// state.
type InstanceList interface {
	// Instances reads the list. After an InvalidEntriesError the returned instances are
	// the valid ones.
	Instances(ctx context.Context) ([]Instance, error)
}

// WeightStore is the platform's rate-limited store of expert weights.
type WeightStore interface {
	// Fetch reads the weights of one expert of one layer. It fails with kind
	// PlatformRateLimited if the rate limit of the store is exceeded.
	Fetch(ctx context.Context, model string, layer, expert int) ([]byte, error)
}
