package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/infra"
)

// InstanceWatcher polls the instance list and keeps the latest copy. It is safe
// for concurrent use.
type InstanceWatcher struct {
	list     infra.InstanceList
	interval time.Duration
	timeout  time.Duration
	log      zerolog.Logger
	latest   atomic.Pointer[[]infra.Instance]
	// invalid describes the invalid entries of the last list.
	invalid atomic.Pointer[string]
}

// NewInstanceWatcher returns a watcher that has not read the list yet. interval
// is the time between two reads; timeout bounds one read.
func NewInstanceWatcher(list infra.InstanceList, interval, timeout time.Duration, log zerolog.Logger) *InstanceWatcher {
	return &InstanceWatcher{list: list, interval: interval, timeout: timeout, log: log}
}

// Run reads the list periodically until ctx is cancelled. While the list cannot
// be read, the latest copy stays in use.
func (i *InstanceWatcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := i.Refresh(ctx); err != nil && ctx.Err() == nil {
			i.log.Warn().Err(err).Msg("cannot read the instance list")
		}
		clock.Sleep(ctx, i.interval)
	}
	return nil
}

// Refresh reads the list once.
func (i *InstanceWatcher) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, i.timeout)
	defer cancel()
	list, invalid, err := infra.ValidInstances(ctx, i.list)
	if err != nil {
		return err
	}
	i.logInvalid(invalid)
	i.latest.Store(&list)
	return nil
}

// logInvalid logs invalid entries once, until they change.
func (i *InstanceWatcher) logInvalid(invalid *infra.InvalidEntriesError) {
	text := ""
	if invalid != nil {
		text = invalid.Error()
	}
	if last := i.invalid.Swap(&text); text != "" && (last == nil || *last != text) {
		i.log.Warn().Err(invalid).Msg("ignoring invalid entries of the instance list")
	}
}

// Latest returns the list of the last successful read, or nil before the first
// one. The list must not be modified. Each read stores a new pointer, so callers
// can compare pointers to detect a new list.
func (i *InstanceWatcher) Latest() *[]infra.Instance { return i.latest.Load() }
