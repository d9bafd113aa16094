// Package quota enforces the organisation limits of the table in force at one
// entry. The entries share each limit by exchanging demand reports.
//
// A Quota is safe for concurrent use: one mutex guards the limiter. It is held for
// one decision at a time and never during I/O.
package quota

import (
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/serve/limits"
)

// Config configures a Quota.
type Config struct {
	// Instance is the instance id of this entry.
	Instance    string
	Incarnation string
	// View returns the table in force.
	View func() *table.View
	// LiveEntries returns the number of live entries, including this one.
	LiveEntries func() int
	Now         func() time.Time
}

// Quota admits requests within the limits of their organisations.
type Quota struct {
	config Config

	mu           sync.Mutex
	limiter      *limits.Limiter
	liveEntries  int
	view         *table.View // the table that the limits come from
	limits       map[string]limits.Amount
	incarnations map[string]string // of the other entries, by instance id
}

// New returns a Quota with the limits of the current table. Its token buckets start
// nearly empty, see package limits.
func New(config Config) *Quota {
	q := &Quota{
		config:       config,
		limiter:      limits.New(limits.DefaultConfig(), config.Instance),
		limits:       make(map[string]limits.Amount),
		incarnations: make(map[string]string),
	}
	q.Refresh()
	return q
}

// Refresh applies changes of the table and of the number of live entries.
func (q *Quota) Refresh() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refresh()
}

// refresh implements Refresh and returns the current time. The caller holds mu.
func (q *Quota) refresh() time.Time {
	now := q.config.Now()
	if live := q.config.LiveEntries(); live != q.liveEntries {
		q.liveEntries = live
		q.limiter.SetLiveEntries(now, live)
	}
	q.applyTable(now)
	return now
}

// Admit admits a request with an estimated number of tokens or refuses it with
// LimitExceeded. The caller calls release exactly once; ran tells whether the
// request reached a backend server. If it did not, its tokens are returned to the
// bucket.
func (q *Quota) Admit(organisation string, tokens float64) (release func(ran bool), err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.refresh()
	if err := q.limiter.Admit(now, organisation, tokens); err != nil {
		return nil, err
	}
	return func(ran bool) { q.release(organisation, tokens, ran) }, nil
}

func (q *Quota) release(organisation string, tokens float64, ran bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	unused := tokens
	if ran {
		unused = 0
	}
	q.limiter.Release(q.config.Now(), organisation, -unused)
}

// applyTable applies the limits of a changed table. The caller holds mu.
func (q *Quota) applyTable(now time.Time) {
	view := q.config.View()
	if view == q.view {
		return
	}
	q.view = view
	newLimits := make(map[string]limits.Amount)
	for _, o := range view.Organisations() {
		if limit, ok := view.LimitOf(o.Name); ok {
			newLimits[o.Name] = limits.Amount{
				Requests: limit.RequestsPerSecond, Tokens: limit.TokensPerSecond, InFlight: float64(limit.InFlight),
			}
		}
	}
	for name := range q.limits {
		if _, ok := newLimits[name]; !ok {
			q.limiter.RemoveLimit(name)
		}
	}
	for name, limit := range newLimits {
		if q.limits[name] != limit {
			q.limiter.SetLimit(now, name, limit)
		}
	}
	q.limits = newLimits
}
