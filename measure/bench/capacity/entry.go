package capacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/filbertmux/filbertmux/balance/membership"
	"github.com/filbertmux/filbertmux/balance/routing"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/serve/fairqueue"
	"github.com/filbertmux/filbertmux/serve/limits"
)

const roleEntry = "entry"

// designEntries is an upper bound: the design size of 330 nodes does not say how
// many of them are entries, so all of them are counted.
const designEntries = designNodes

func entrySeries() []measurementSeries {
	replicas := []int{12, 150, 300, 600}
	organisations := []int{110, 550, 1100}
	return []measurementSeries{
		{
			roleEntry, "memory of the membership view", "replicas", "B", replicas, designReplicas,
			func(n int) (float64, error) {
				return retainedHeap(func() any { return newFilledMembership(n) }), nil
			},
		},
		{roleEntry, "bytes of the instance list in JSON", "replicas", "B", replicas, designReplicas, instanceListBytes},
		{roleEntry, "time to pick a backend server", "replicas", "s", replicas, designReplicas, pickTime},
		{
			roleEntry, "memory of the limiter", "organisations", "B", organisations, designOrganisations,
			func(n int) (float64, error) {
				return retainedHeap(func() any { return newFilledLimiter(n) }), nil
			},
		},
		{roleEntry, "time to admit and release one request", "organisations", "s", organisations, designOrganisations, admitTime},
		{roleEntry, "bytes of a limit report in JSON to one peer", "active organisations", "B", organisations, designOrganisations, reportBytes},
		{roleEntry, "time to queue and take one request", "requests queued", "s", []int{100, 1000, 4000}, 1000, queueTime},
	}
}

func newInstances(n int) []infra.Instance {
	list := make([]infra.Instance, 0, n)
	for i := range n {
		list = append(list, infra.Instance{
			ID: fmt.Sprintf("replica-%04d", i), Role: infra.RoleBackend, Service: "text-desk",
			Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), FailureDomain: fmt.Sprintf("domain-%d", i%7),
			Region: "ro-centru", Group: fmt.Sprintf("group-%03d", i/4), Ranks: []int{0, 1, 2, 3, 4, 5, 6, 7},
			State: infra.StateLive,
		})
	}
	return list
}

func instanceListBytes(n int) (float64, error) {
	data, err := json.Marshal(newInstances(n))
	return float64(len(data)), err
}

func newFilledMembership(n int) *membership.View {
	v := membership.New(membership.DefaultConfig())
	v.ApplyList(baseTime, newInstances(n))
	for _, instance := range newInstances(n) {
		v.ApplySuccess(baseTime, membership.Success{ID: instance.ID, Incarnation: "incarnation", SentAt: baseTime})
	}
	return v
}

func pickTime(n int) (float64, error) {
	policy := routing.NewProbeBased(routing.DefaultProbeConfig(), routing.NewLoadTable(time.Minute))
	rng := rand.New(rand.NewPCG(1, 1))
	candidates := make([]routing.Candidate, 0, n)
	for _, instance := range newInstances(n) {
		candidates = append(candidates, routing.Candidate{ID: instance.ID, FailureDomain: instance.FailureDomain})
	}
	now := baseTime
	return timePerCall(func() {
		now = now.Add(time.Millisecond)
		request := routing.Request{Now: now, Rand: rng, Candidates: candidates}
		for _, id := range policy.Probes(request) {
			load := routing.Load{InFlight: rng.IntN(8), Latency: time.Duration(rng.IntN(1000)) * time.Microsecond}
			policy.Observe(now, routing.Event{Kind: routing.Probed, Server: id, Load: load})
		}
		chosen := policy.Pick(request)
		policy.Observe(now, routing.Event{Kind: routing.Sent, Server: candidates[chosen].ID})
	}), nil
}

func newFilledLimiter(n int) *limits.Limiter {
	l := limits.New(limits.DefaultConfig(), "entry-0")
	l.SetLiveEntries(baseTime, designEntries)
	for i := range n {
		l.SetLimit(baseTime, organisationName(i), limits.Amount{Requests: 1e6, Tokens: 1e9, InFlight: 1e6})
	}
	return l
}

func admitTime(n int) (float64, error) {
	l := newFilledLimiter(n)
	now := baseTime
	i := 0
	return timePerCall(func() {
		i++
		now = now.Add(time.Millisecond)
		name := organisationName(i % n)
		if l.Admit(now, name, 1) == nil {
			l.Release(now, name, 0)
		}
	}), nil
}

func reportBytes(n int) (float64, error) {
	l := newFilledLimiter(n)
	now := baseTime.Add(time.Second)
	for i := range n {
		_ = l.Admit(now, organisationName(i), 100)
	}
	report := l.NextReports(now.Add(time.Second), []string{"entry-1"})["entry-1"]
	data, err := json.Marshal(report)
	return float64(len(data)), err
}

func queueTime(n int) (float64, error) {
	q := fairqueue.New[int](2*n, []fairqueue.Class{{Name: "desk", Reserve: 0.1}, {Name: "admin", Reserve: 0.1}})
	q.SetRate(1e6)
	push := func(i int) error {
		_, _, err := q.Push(baseTime, fairqueue.Item[int]{
			Class: "desk", Organisation: organisationName(i % designOrganisations), Cost: 100, Value: i,
		})
		return err
	}
	for i := range n {
		if err := push(i); err != nil {
			return 0, err
		}
	}
	i := n
	var failure error
	perCall := timePerCall(func() {
		i++
		if err := push(i); err != nil {
			failure = err
		}
		q.Pop()
	})
	return perCall, failure
}
