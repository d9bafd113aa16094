package standin

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// Faults is the set of faults in force at the platform. The zero value is a
// healthy platform.
type Faults struct {
	// LogDown makes each log request fail before it takes effect.
	LogDown bool `json:"log_down"`
	// LogDelayMS delays each log request, in milliseconds.
	LogDelayMS int64 `json:"log_delay_ms"`
	// LoseAppendAnswers is the number of appends whose answer is lost after
	// the append took effect. It counts down.
	LoseAppendResponses int `json:"lose_append_answers"`
	// StreamPrefix restricts the log faults to streams with this prefix.
	StreamPrefix string `json:"stream_prefix"`
	// ListDown makes the instance list fail.
	ListDown bool `json:"list_down"`
	// ListFrozen makes the instance list repeat its last answer.
	ListFrozen bool `json:"list_frozen"`
	// WeightsDown makes the weight store fail.
	WeightsDown bool `json:"weights_down"`
	// FetchesPerSecond, unless zero, is the rate of the weight store from now
	// on.
	FetchesPerSecond float64 `json:"fetches_per_second"`
}

// faultControl holds the faults in force.
type faultControl struct {
	mu     sync.Mutex
	faults Faults
}

func (f *faultControl) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

func (f *faultControl) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

func (f *faultControl) beforeLog(ctx context.Context, stream string) error {
	faults := f.get()
	if !strings.HasPrefix(stream, faults.StreamPrefix) {
		return nil
	}
	if faults.LogDown {
		return errkind.New(errkind.PlatformUnavailable, "log is down")
	}
	if faults.LogDelayMS <= 0 {
		return nil
	}
	select {
	case <-time.After(time.Duration(faults.LogDelayMS) * time.Millisecond):
		return nil
	case <-ctx.Done():
		return errkind.Wrap(errkind.PlatformUnavailable, ctx.Err(), "log request")
	}
}

func (f *faultControl) loseAnswer(stream string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.LoseAppendResponses == 0 || !strings.HasPrefix(stream, f.faults.StreamPrefix) {
		return false
	}
	f.faults.LoseAppendResponses--
	return true
}
