// Command older-copy adds a gateway while the store holds a copy some seconds old, and checks
// that no request runs whose key was taken away longer ago than the bound.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/review/kit3"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

const (
	// revokeBound is bounds.revokeMs of the settings.
	revokeBound = 5 * time.Second
	// The store is away for a second and comes back from a copy that is 5 s old. The operator
	// writes again what is lost two seconds later.
	drillAt     = 4 * time.Second
	awayFor     = time.Second
	copyAge     = 5 * time.Second
	rewriteWait = 2 * time.Second
	endAt       = 12 * time.Second

	settleTime   = 6 * time.Second
	readyLimit   = 20 * time.Second
	callInterval = 50 * time.Millisecond
	callTimeout  = 2 * time.Second
	service      = "bookings"
	takenKey     = "key-taken-away"
	keptKey      = "key-kept"
)

func main() { os.Exit(run()) }

func run() int {
	kit3.EndOnSignal(cannotRun)
	record, err := kit3.NewRecord(os.Args[1])
	if err != nil {
		return cannotRun
	}
	defer record.Close()
	c, err := newCase(record)
	if err != nil {
		record.Now("can't run: %v", err)
		return cannotRun
	}
	defer c.close()
	if err := c.play(os.Getenv("TROUBLE") != "0"); err != nil {
		record.Now("can't run: %v", err)
		return cannotRun
	}
	return c.judge()
}

type testCase struct {
	record   *kit3.Record
	store    *kit3.Store
	d        *kit3.Deployment
	replicas []*kit3.Replica
	gateways []*kit3.Gateway
	// ack is when the store acknowledged the desired state without the key.
	ack time.Time

	mu    sync.Mutex
	calls []kit3.Call
	stop  chan struct{}
	wg    sync.WaitGroup
}

func newCase(record *kit3.Record) (*testCase, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	store, err := kit3.NewStore("127.0.0.1")
	if err != nil {
		return nil, err
	}
	d, err := kit3.NewDeployment(root, store.Address())
	if err != nil {
		return nil, err
	}
	c := &testCase{record: record, store: store, d: d, stop: make(chan struct{})}
	for i := range 3 {
		r, err := kit3.NewReplica(store, fmt.Sprintf("i-%d", i), service, "127.0.0.1")
		if err != nil {
			return c, err
		}
		c.replicas = append(c.replicas, r)
	}
	return c, nil
}

func (c *testCase) close() {
	for _, g := range c.gateways {
		g.Kill()
	}
	c.d.Remove()
}

// desired returns a version of the desired state.
func desired(version int, keys ...string) []byte {
	routes := []kit3.Route{kit3.NewRoute("book", "/book/", "non_idempotent", service)}
	tenants := make(map[string][]string)
	for _, k := range keys {
		tenants["tenant-of-"+k] = []string{k}
	}
	return kit3.Config(version, routes, tenants, service)
}

// play runs the deployment. Without trouble, the store isn't away and loses nothing.
func (c *testCase) play(trouble bool) error {
	c.put(desired(1, takenKey, keptKey), 1)
	for range 3 {
		if err := c.addGateway(); err != nil {
			return err
		}
	}
	for _, g := range c.gateways {
		if !g.AwaitReady(readyLimit) {
			return fmt.Errorf("%s isn't ready", g.Name)
		}
	}
	time.Sleep(settleTime)
	c.ack = c.put(desired(2, keptKey), 2)
	c.record.SetZero(c.ack)
	c.record.Now("version 2, which takes %s away, is acknowledged", takenKey)
	for _, g := range c.gateways {
		c.startCalls(g)
	}
	c.waitUntil(drillAt)
	if trouble {
		copied := time.Now().Add(-copyAge)
		c.store.SetDown(true)
		c.record.Now("the store is away")
		time.Sleep(awayFor)
		lost := c.store.Restore(copied)
		c.record.Now("the store is back in era %d from a copy of %.1f s; %d records are lost", c.store.Era(), copied.Sub(c.ack).Seconds(), lost)
	} else {
		time.Sleep(awayFor)
	}
	if err := c.addGateway(); err != nil {
		return err
	}
	c.startCalls(c.gateways[len(c.gateways)-1])
	time.Sleep(rewriteWait)
	if trouble {
		c.put(desired(2, keptKey), 2)
	}
	c.waitUntil(endAt)
	close(c.stop)
	c.wg.Wait()
	return nil
}

func (c *testCase) waitUntil(after time.Duration) { time.Sleep(time.Until(c.ack.Add(after))) }

// put writes a version of the desired state and returns the time of its ack.
func (c *testCase) put(config []byte, version int) time.Time {
	at, ok := c.store.Put("keyed.op", "config", config)
	c.record.At(at, "the operator writes version %d, acknowledged %v", version, ok)
	return at
}

func (c *testCase) addGateway() error {
	n := len(c.gateways) + 1
	g := c.d.NewGateway(fmt.Sprintf("gateway-%d", n), fmt.Sprintf("127.0.70.%d", n))
	c.gateways = append(c.gateways, g)
	c.record.Now("%s starts", g.Name)
	return g.Start()
}

// startCalls sends requests with both keys to a gateway until the end.
func (c *testCase) startCalls(g *kit3.Gateway) {
	c.wg.Go(func() {
		for {
			select {
			case <-c.stop:
				return
			case <-time.After(callInterval):
			}
			for _, key := range []string{takenKey, keptKey} {
				call := kit3.Send(g.Frontend(), kit3.Host, "POST", "/book/one", key, "a booking", callTimeout)
				call.Gateway = g.Name
				c.mu.Lock()
				c.calls = append(c.calls, call)
				c.mu.Unlock()
			}
		}
	})
}

// judge writes what was sent, answered and run, and checks the rule.
func (c *testCase) judge() int {
	runs := make(map[string]kit3.Run)
	for _, r := range c.replicas {
		for _, run := range r.Runs() {
			runs[run.Attempt] = run
		}
	}
	violations, served := 0, 0
	for _, call := range c.calls {
		run, ran := runs[call.Attempt]
		c.record.At(call.Sent, "%s to %s with %s: status %d %s", call.Attempt, call.Gateway, call.Key, call.Status, call.Err)
		if !ran {
			continue
		}
		c.record.At(run.At, "%s runs at %s for %s", run.Attempt, run.Replica, run.Tenant)
		if call.Key == keptKey {
			served++
		}
		if call.Key == takenKey && call.Sent.After(c.ack.Add(revokeBound)) {
			violations++
			c.record.At(call.Sent, "BROKEN: %s was sent later than %s after the ack and runs", call.Attempt, revokeBound)
		}
	}
	c.record.Now("%d requests, %d with the kept key run, %d break the rule", len(c.calls), served, violations)
	switch {
	case served == 0:
		return cannotRun
	case violations > 0:
		return broken
	default:
		return held
	}
}
