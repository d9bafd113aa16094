package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/infra"
)

// Instances follows the instance list. It is safe for concurrent use.
type InstanceWatcher struct {
	list     infra.InstanceList
	interval time.Duration
	timeout  time.Duration
	log      zerolog.Logger
	view     atomic.Pointer[[]infra.Instance]
}

// NewInstances returns a view that has not been read yet. interval is the time
// between two reads, timeout bounds one read.
func NewInstanceWatcher(list infra.InstanceList, interval, timeout time.Duration, log zerolog.Logger) *InstanceWatcher {
	return &InstanceWatcher{list: list, interval: interval, timeout: timeout, log: log}
}

// Follow reads the list again and again until ctx ends. While the list can't be
// read, the last view stays.
func (i *InstanceWatcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := i.Refresh(ctx); err != nil && ctx.Err() == nil {
			i.log.Warn().Err(err).Msg("instance list")
		}
		clock.Sleep(ctx, i.interval)
	}
	return nil
}

// Refresh reads the list once.
func (i *InstanceWatcher) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, i.timeout)
	defer cancel()
	list, err := i.list.Instances(ctx)
	if err != nil {
		return err
	}
	i.view.Store(&list)
	return nil
}

// View returns the last list, or nil before the first one. The list must not
// be modified. A new list has a new address.
func (i *InstanceWatcher) Latest() *[]infra.Instance { return i.view.Load() }
