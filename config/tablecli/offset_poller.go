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
	// statusRequestTimeout is the timeout of one status request.
	statusRequestTimeout = time.Second
	// maxConcurrentRequests limits the status requests in flight, and thus the
	// open sockets. 64 instances that do not respond delay a round by 1 s.
	maxConcurrentRequests = 64
	// maxListedIDs is the maximum number of instances that a message lists.
	maxListedIDs = 10
)

// offsetPoller requests the table offsets of instances. It is not safe for
// concurrent use.
type offsetPoller struct {
	client  *http.Client
	timeout time.Duration // of one request
	// reported holds the highest offset that each instance has reported.
	reported     map[instanceKey]infra.Offset
	unresponsive map[instanceKey]bool // instances that did not respond to the last request
}

// instanceKey identifies an instance by its id and address, because an instance
// that replaces another one may have the same id.
type instanceKey struct{ id, address string }

func instanceKeyOf(i infra.Instance) instanceKey { return instanceKey{i.ID, i.Address} }

func newOffsetPoller(timeout time.Duration) *offsetPoller {
	return &offsetPoller{
		timeout: timeout,
		// Connections are not kept alive, because most instances get only one
		// request.
		client:       &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxConnsPerHost: 1}},
		reported:     make(map[instanceKey]infra.Offset),
		unresponsive: make(map[instanceKey]bool),
	}
}

func (p *offsetPoller) close() { p.client.CloseIdleConnections() }

// pollLate sends a status request to each instance that has not reported the offset,
// and returns the ids of those that still have not. Instances that did not respond
// to their last request are polled last. An instance that has reported the offset
// is not polled again, because offsets never decrease.
func (p *offsetPoller) pollLate(ctx context.Context, instances []infra.Instance, offset infra.Offset) []string {
	var responsive, unresponsive []infra.Instance
	for _, i := range instances {
		switch {
		case p.reported[instanceKeyOf(i)] >= offset:
		case p.unresponsive[instanceKeyOf(i)]:
			unresponsive = append(unresponsive, i)
		default:
			responsive = append(responsive, i)
		}
	}
	p.pollAll(ctx, append(responsive, unresponsive...))
	var late []string
	for _, i := range instances {
		if p.reported[instanceKeyOf(i)] < offset {
			late = append(late, i.ID)
		}
	}
	return late
}

// pollAll polls the instances concurrently, because a request to an instance that
// does not respond takes the whole timeout.
func (p *offsetPoller) pollAll(ctx context.Context, instances []infra.Instance) {
	offsets := make([]infra.Offset, len(instances))
	answered := make([]bool, len(instances))
	var group errgroup.Group
	group.SetLimit(maxConcurrentRequests)
	for n, i := range instances {
		group.Go(func() error {
			offsets[n], answered[n] = p.fetchOffset(ctx, i.Address)
			return nil
		})
	}
	_ = group.Wait() // the functions never return an error
	for n, i := range instances {
		key := instanceKeyOf(i)
		p.unresponsive[key] = !answered[n]
		p.reported[key] = max(p.reported[key], offsets[n])
	}
}

// fetchOffset returns the table offset that an instance reports, or false if the
// request fails.
func (p *offsetPoller) fetchOffset(ctx context.Context, address string) (infra.Offset, bool) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/statusz", nil)
	if err != nil {
		return 0, false
	}
	resp, err := p.client.Do(req)
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

// formatIDs returns the first maxListedIDs ids and the number of the others.
func formatIDs(ids []string) string {
	if len(ids) <= maxListedIDs {
		return strings.Join(ids, " ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(ids[:maxListedIDs], " "), len(ids)-maxListedIDs)
}
