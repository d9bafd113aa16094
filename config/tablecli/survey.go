package tablecli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/filbertmux/filbertmux/base/infra"
)

const (
	// statusTimeout bounds one status question.
	statusTimeout = time.Second
	// maxQuestions bounds the status questions in flight, and with them the
	// sockets. 64 instances that do not answer delay a round by 1 s.
	maxQuestions = 64
	// maxNamed bounds the instances that a message names.
	maxNamed = 10
)

// survey asks instances for their table offset. It is owned by one goroutine.
type survey struct {
	client  *http.Client
	timeout time.Duration // of one question
	// reported holds the highest offset that each instance has reported.
	reported map[instanceKey]infra.Offset
	silent   map[instanceKey]bool // those that did not answer the last question
}

// instanceKey is an instance at an address, because a replaced instance may
// keep its id.
type instanceKey struct{ id, address string }

func keyOf(i infra.Instance) instanceKey { return instanceKey{i.ID, i.Address} }

func newSurvey(timeout time.Duration) *survey {
	return &survey{
		timeout: timeout,
		// A connection is not kept, because an instance is seldom asked twice.
		client:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxConnsPerHost: 1}},
		reported: make(map[instanceKey]infra.Offset),
		silent:   make(map[instanceKey]bool),
	}
}

func (q *survey) close() { q.client.CloseIdleConnections() }

// late asks the instances that have not reported the offset, those that did
// not answer before at the end, and returns the ids of those that still have
// not. An instance that has reported it is not asked again, because offsets do
// not fall.
func (q *survey) late(ctx context.Context, instances []infra.Instance, offset infra.Offset) []string {
	var prompt, silent []infra.Instance
	for _, i := range instances {
		switch {
		case q.reported[keyOf(i)] >= offset:
		case q.silent[keyOf(i)]:
			silent = append(silent, i)
		default:
			prompt = append(prompt, i)
		}
	}
	q.ask(ctx, append(prompt, silent...))
	var late []string
	for _, i := range instances {
		if q.reported[keyOf(i)] < offset {
			late = append(late, i.ID)
		}
	}
	return late
}

// ask asks several at once: one that does not answer takes statusTimeout.
func (q *survey) ask(ctx context.Context, instances []infra.Instance) {
	offsets := make([]infra.Offset, len(instances))
	answered := make([]bool, len(instances))
	var group errgroup.Group
	group.SetLimit(maxQuestions)
	for n, i := range instances {
		group.Go(func() error {
			offsets[n], answered[n] = q.tableOffset(ctx, i.Address)
			return nil
		})
	}
	_ = group.Wait() // no question returns an error
	for n, i := range instances {
		key := keyOf(i)
		q.silent[key] = !answered[n]
		q.reported[key] = max(q.reported[key], offsets[n])
	}
}

// tableOffset returns the offset that an instance reports.
func (q *survey) tableOffset(ctx context.Context, address string) (infra.Offset, bool) {
	ctx, cancel := context.WithTimeout(ctx, q.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/statusz", nil)
	if err != nil {
		return 0, false
	}
	resp, err := q.client.Do(req)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	var status struct {
		TableOffset infra.Offset `json:"table_offset"`
	}
	if json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&status) != nil {
		return 0, false
	}
	return status.TableOffset, true
}

// nameSome returns the first ids and the number of the others.
func nameSome(ids []string) string {
	if len(ids) <= maxNamed {
		return strings.Join(ids, " ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(ids[:maxNamed], " "), len(ids)-maxNamed)
}
