// Package quota applies the organisation limits of the table in force at one
// entry and shares them with the other entries by reports.
//
// A Quota is safe for concurrent use: one mutex guards the limiter. It is held
// for one decision at a time and never during I/O.
package quota

import (
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/serve/limits"
)

// Config sets up a Quota.
type Config struct {
	// Instance is the instance id of this entry.
	Instance    string
	Incarnation string
	// View returns the table in force.
	View func() *table.View
	// Live returns the number of live entries, including this one.
	LiveEntries func() int
	Now         func() time.Time
}

// Quota admits requests within the limits of their organisations.
type Quota struct {
	config Config

	mu           sync.Mutex
	limiter      *limits.Limiter
	live         int
	view         *table.View // the table that the limits were taken from
	limited      map[string]limits.Amount
	incarnations map[string]string // of the other entries, by instance id
}

// New returns a Quota that takes the limits from the present table. Its buckets
// start nearly empty, see limits.
func New(config Config) *Quota {
	q := &Quota{
		config:       config,
		limiter:      limits.New(limits.DefaultConfig(), config.Instance),
		limited:      make(map[string]limits.Amount),
		incarnations: make(map[string]string),
	}
	q.Refresh()
	return q
}

// Refresh takes a changed table and a changed number of live entries.
func (q *Quota) Refresh() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refresh()
}

// refresh is Refresh for a caller that holds mu. It returns the time.
func (q *Quota) refresh() time.Time {
	now := q.config.Now()
	if live := q.config.LiveEntries(); live != q.live {
		q.live = live
		q.limiter.SetLiveEntries(now, live)
	}
	q.applyTable(now)
	return now
}

// Admit admits a request with an estimated number of tokens or refuses it with
// LimitExceeded. The caller calls release once; ran says whether the request
// reached a backend server. Otherwise its tokens are given back.
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

// applyTable takes the limits of a changed table. The caller holds mu.
func (q *Quota) applyTable(now time.Time) {
	view := q.config.View()
	if view == q.view {
		return
	}
	q.view = view
	limited := make(map[string]limits.Amount)
	for _, o := range view.Organisations() {
		if l, ok := view.LimitOf(o.Name); ok {
			limited[o.Name] = limits.Amount{
				Requests: l.RequestsPerSecond, Tokens: l.TokensPerSecond, InFlight: float64(l.InFlight),
			}
		}
	}
	for name := range q.limited {
		if _, ok := limited[name]; !ok {
			q.limiter.RemoveLimit(name)
		}
	}
	for name, limit := range limited {
		if q.limited[name] != limit {
			q.limiter.SetLimit(now, name, limit)
		}
	}
	q.limited = limited
}
