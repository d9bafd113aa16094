// Command 7 shows requests to a replica that has left, sent by a gateway that is in touch
// again after the store gave it no response for some seconds. It also counts the bookings
// that are lost because the replica exits.
package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/filbertmux/filbertmux/review/kit2"
)

const (
	gateways = 3
	replicas = 4
	// contact and drain are bounds of the deployment.
	contact = 3 * time.Second
	drain   = 2 * time.Second
	// minCut and maxCut bound the time without a response of the store; the site lists
	// 9 s for it.
	minCut = 4500 * time.Millisecond
	maxCut = 8500 * time.Millisecond
	// exitAfter is when the replica exits, after the store responds again.
	exitAfter = 3200 * time.Millisecond
	// work is how long a replica takes for a request.
	work    = 120 * time.Millisecond
	clients = 16
	rounds  = 3
)

func main() { kit2.Run("review/7", body) }

func body(c *kit2.Case) (int, error) {
	c.Store.PutJSON("keyed.op", "config", kit2.Config(7))
	var servers []*kit2.Replica
	for i := range replicas {
		r, err := startReplica(c, i)
		if err != nil {
			return 0, err
		}
		servers = append(servers, r)
	}
	path, err := kit2.NewStorePath(c.Store.Address())
	if err != nil {
		return 0, err
	}
	t := kit2.NewTraffic()
	for i := range gateways {
		store := c.Store.Address()
		if i == 0 {
			store = path.Address()
		}
		g, err := c.StartGateway(fmt.Sprintf("edge-%d", i), store)
		if err != nil {
			return 0, err
		}
		for n := range clients {
			go t.Client(i, g, n%2 == 0)
		}
	}
	time.Sleep(4 * time.Second)
	broken := 0
	for round := range rounds {
		n, err := playRound(c, t, path, servers, round)
		if err != nil {
			return 0, err
		}
		broken += n
	}
	c.CopyLog("edge-0", `"topic":"keyed.servers"`, "missing after", "server gone")
	t.LogTotals(c)
	t.RecordAll(c)
	c.RecordRuns()
	if broken > 0 {
		return kit2.Broken, nil
	}
	return kit2.Held, nil
}

func startReplica(c *kit2.Case, number int) (*kit2.Replica, error) {
	r, err := c.StartReplica(fmt.Sprintf("i-%d", number))
	if err == nil {
		r.Work = work
	}
	return r, err
}

// playRound lets one replica leave while the store doesn't respond to edge-0, and starts
// another one. It returns how many requests broke the rule.
func playRound(c *kit2.Case, t *kit2.Traffic, path *kit2.StorePath, servers []*kit2.Replica, round int) (int, error) {
	cutAt := time.Now()
	if c.Trouble {
		path.SetCut(true)
		c.Logf("the store no longer responds to edge-0")
	}
	time.Sleep(minCut)
	leaving := servers[round]
	leftAt := leaving.Leave()
	c.LogAt(leftAt, "the store has accepted that the entry of %s is gone", leaving.ID)
	if _, err := startReplica(c, replicas+round); err != nil {
		return 0, err
	}
	if c.Trouble {
		// The store responds again shortly after a call was lost.
		path.AwaitDropped("topic=keyed.servers", maxCut-time.Since(cutAt))
		path.SetCut(false)
	}
	end := time.Now()
	c.Logf("the store responds to edge-0 again, which is in touch %s later", contact)
	time.Sleep(exitAfter)
	c.Logf("%s exits, %.3f s after the ack", leaving.ID, time.Since(leftAt).Seconds())
	leaving.Stop()
	time.Sleep(4 * time.Second)
	return check(c, t, leaving, leftAt, end), nil
}

// check counts the requests that reached a replica later than the bound after the ack, sent
// by clients to a gateway in touch.
func check(c *kit2.Case, t *kit2.Traffic, r *kit2.Replica, leftAt, end time.Time) int {
	broken, lost := 0, 0
	last := make(map[int]time.Time)
	for _, a := range r.Arrivals() {
		s := t.Request(a.ID)
		last[s.Gateway] = a.At
		inTouch := s.Gateway != 0 || s.At.Sub(end) > contact
		if !inTouch || a.At.Sub(leftAt) <= drain {
			continue
		}
		broken++
		if broken <= 5 {
			c.LogAt(a.At, "DRAIN broken: request %s, sent to edge-%d %.3f s after the end of the trouble, reached %s %.3f s after the ack",
				a.ID, s.Gateway, s.At.Sub(end).Seconds(), r.ID, a.At.Sub(leftAt).Seconds())
		}
		if s.Booking && s.Status != http.StatusOK {
			lost++
			c.LogAt(a.At, "booking %s began to run at %s, and its client got status %d", a.ID, r.ID, s.Status)
		}
	}
	for g, at := range last {
		c.Logf("last request from edge-%d reached %s %.3f s after the ack", g, r.ID, at.Sub(leftAt).Seconds())
	}
	c.Logf("%d requests broke the rule at %s; %d of them are bookings whose answer was lost", broken, r.ID, lost)
	return broken
}
