// Command 4 shows that a gateway cuts a stream in its middle when its replica preempts it for
// a while, if no other replica has a place for it.
package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/filbertmux/filbertmux/review/kit"
)

const (
	replicas = 3
	// slots is the number of streams that a replica generates at once, and streams the
	// number of streams that are requested.
	slots         = 12
	streams       = 30
	events        = 100
	eventInterval = 40 * time.Millisecond
	// The memory of each replica is short from the time firstPreemption after the first
	// request on. It then preempts its newest stream, and again each preemptInterval, up to
	// maxPreempted of them. A preempted stream goes on after preemptedFor.
	firstPreemption = 1500 * time.Millisecond
	preemptInterval = 150 * time.Millisecond
	maxPreempted    = 5
	preemptedFor    = 900 * time.Millisecond
	deadline        = 8 * time.Second
)

func main() { kit.Run("review/4", run) }

// engine is a model replica with some slots. Further streams wait in its queue.
type engine struct {
	slots chan struct{}

	mu     sync.Mutex
	active []*running
}

// running is a stream that an engine generates.
type running struct {
	id          string
	pausedUntil time.Time
	preempted   bool
}

func (e *engine) handle(rep *kit.Replica, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/api/report" {
		e.report(w)
		return
	}
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.slots }()
	s := e.start(r.Header.Get("X-Attempt-Id"))
	defer e.end(s)
	rep.Ran(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	done, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := done + 1; n <= events; n++ {
		for wait := eventInterval; wait > 0; wait = e.pauseLeft(s) {
			select {
			case <-time.After(wait):
			case <-r.Context().Done():
				rep.Logf("the channel of %s closes while replica %s is at work on it", s.id, rep.ID)
				return
			}
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
	}
}

func (e *engine) start(id string) *running {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &running{id: id}
	e.active = append(e.active, s)
	return s
}

func (e *engine) end(s *running) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active = slices.DeleteFunc(e.active, func(other *running) bool { return other == s })
}

// pauseLeft returns the time until a preempted stream goes on.
func (e *engine) pauseLeft(s *running) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Until(s.pausedUntil)
}

// preempt preempts the newest streams, one after the other.
func (e *engine) preempt(rep *kit.Replica) {
	for range maxPreempted {
		e.mu.Lock()
		for _, s := range slices.Backward(e.active) {
			if !s.preempted {
				s.preempted, s.pausedUntil = true, time.Now().Add(preemptedFor)
				rep.Logf("replica %s preempts %s for %s", rep.ID, s.id, preemptedFor)
				break
			}
		}
		e.mu.Unlock()
		time.Sleep(preemptInterval)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"phase":"unified","busy":false,"sequence":0,"queued":0,"active":%d,"kvInUse":0,"kvCapacityTotal":372000}`, len(e.active))
}

func run(c *kit.Case) (int, error) {
	c.Publish(kit.Config(7))
	engines := make(map[*kit.Replica]*engine)
	for n := range replicas {
		e := &engine{slots: make(chan struct{}, slots)}
		rep, err := c.StartReplica(fmt.Sprintf("i-%d", n+1), e.handle)
		if err != nil {
			return kit.NotRun, err
		}
		defer rep.Close()
		engines[rep] = e
		c.Register(rep.ID, kit.ModelService, rep.Address, "ready", slots, rep.Born)
	}
	g, err := c.StartGateway("edge-1", c.Store.Address())
	if err != nil {
		return kit.NotRun, err
	}
	time.Sleep(time.Second)
	c.Logf("SIGHUP to the gateway")
	g.Signal(syscall.SIGHUP)
	time.Sleep(200 * time.Millisecond)
	var mu sync.Mutex
	cut := 0
	var wg sync.WaitGroup
	if c.Trouble {
		time.AfterFunc(firstPreemption, func() {
			for rep, e := range engines {
				go e.preempt(rep)
			}
		})
	}
	for n := range streams {
		wg.Go(func() {
			if stream(c, g.Address, n) {
				mu.Lock()
				defer mu.Unlock()
				cut++
			}
		})
		time.Sleep(30 * time.Millisecond)
	}
	wg.Wait()
	c.Logf("%d of %d streams were cut", cut, streams)
	if cut > 0 {
		c.Logf("LOST is broken: the channel ends without a complete answer")
		return kit.Broken, nil
	}
	return kit.Held, nil
}

// stream requests a stream and reports whether the answer was cut.
func stream(c *kit.Case, address string, n int) (cut bool) {
	ch, err := kit.Dial(address)
	if err != nil {
		c.Disturbed("no channel", err)
		return false
	}
	defer ch.Close()
	r := kit.Request{
		Method: http.MethodPost, Path: kit.StreamPath + "label", ID: fmt.Sprintf("draft-%d", n), Deadline: deadline,
		Body: fmt.Sprintf("label %d", n), Header: map[string]string{"X-Model-Id": "m", "X-Token-Usage": "700,60"},
	}
	c.Logf("%s: sent", r.ID)
	sentAt := time.Now()
	a := ch.Do(r)
	c.Logf("%s: after %d ms %s, %d events", r.ID, time.Since(sentAt).Milliseconds(), a, strings.Count(a.Body, "data: "))
	return a.Err != nil
}
