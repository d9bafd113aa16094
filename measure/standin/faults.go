package standin

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// Faults is the set of faults injected into a Platform. The zero value means a
// healthy platform.
type Faults struct {
	// LogDown fails each log request before it takes effect.
	LogDown bool `json:"log_down"`
	// LogDelayMS delays each log request, in milliseconds.
	LogDelayMS int64 `json:"log_delay_ms"`
	// LoseAppendResponses is the number of further appends that take effect but
	// whose response is lost. It counts down.
	LoseAppendResponses int `json:"lose_append_answers"`
	// StreamPrefix restricts the log faults to streams with this prefix.
	StreamPrefix string `json:"stream_prefix"`
	// ListDown makes the instance list fail.
	ListDown bool `json:"list_down"`
	// ListFrozen makes the instance list repeat its last response.
	ListFrozen bool `json:"list_frozen"`
	// WeightsDown makes the weight store fail.
	WeightsDown bool `json:"weights_down"`
	// FetchesPerSecond, unless zero, changes the rate limit of the weight store.
	// A later zero does not restore the previous limit.
	FetchesPerSecond float64 `json:"fetches_per_second"`
}

// faultState holds the faults in force.
type faultState struct {
	mu     sync.Mutex
	faults Faults
}

func (f *faultState) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

func (f *faultState) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

func (f *faultState) applyLogFaults(ctx context.Context, stream string) error {
	faults := f.get()
	if !strings.HasPrefix(stream, faults.StreamPrefix) {
		return nil
	}
	if faults.LogDown {
		return errkind.New(errkind.PlatformUnavailable, "injected fault: the log is unavailable")
	}
	if faults.LogDelayMS <= 0 {
		return nil
	}
	select {
	case <-time.After(time.Duration(faults.LogDelayMS) * time.Millisecond):
		return nil
	case <-ctx.Done():
		return errkind.Wrap(errkind.PlatformUnavailable, ctx.Err(), "delayed log request")
	}
}

func (f *faultState) consumeLostAppend(stream string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.LoseAppendResponses == 0 || !strings.HasPrefix(stream, f.faults.StreamPrefix) {
		return false
	}
	f.faults.LoseAppendResponses--
	return true
}
