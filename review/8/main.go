// Command 8 shows requests to a replica that is draining, after the store has executed an
// earlier write of the replica late: the gateways believe the older entry.
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
	// drain is the bound of the deployment.
	drain = 2 * time.Second
	// drainAfter is when the replica reports that it is draining, after the write whose answer
	// was lost; the store is stable again then. lateBy is when that write is executed, and
	// exitAfter when the replica exits after the report: drainMs and 2 s.
	drainAfter = 3300 * time.Millisecond
	lateBy     = 5900 * time.Millisecond
	exitAfter  = drain + 2*time.Second
	// work is how long a replica takes for a request.
	work    = 120 * time.Millisecond
	clients = 16
	rounds  = 4
)

func main() { kit2.Run("review/8", body) }

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
	t := kit2.NewTraffic()
	for i := range gateways {
		g, err := c.StartGateway(fmt.Sprintf("edge-%d", i), c.Store.Address())
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
		n, err := playRound(c, t, servers, round)
		if err != nil {
			return 0, err
		}
		broken += n
	}
	for i := range gateways {
		c.CopyLog(fmt.Sprintf("edge-%d", i), "server draining", "server gone", "server registered")
	}
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

// playRound lets one replica drain and exit, and starts another one. It returns how many
// requests broke the rule.
func playRound(c *kit2.Case, t *kit2.Traffic, servers []*kit2.Replica, round int) (int, error) {
	r := servers[round]
	if c.Trouble {
		c.Logf("the answer to a write of %s is lost; the store executes it %s later", r.ID, lateBy)
		r.RegisterLate(lateBy, func(entry map[string]any) {
			c.Logf("the store has executed the write: state %v, sequence %v", entry["state"], entry["sequence"])
		})
	}
	time.Sleep(drainAfter)
	drainedAt := r.Drain()
	c.LogAt(drainedAt, "the store has accepted that %s is draining", r.ID)
	if _, err := startReplica(c, replicas+round); err != nil {
		return 0, err
	}
	time.Sleep(time.Until(drainedAt.Add(exitAfter)))
	c.Logf("%s exits, %.3f s after the ack", r.ID, time.Since(drainedAt).Seconds())
	r.Stop()
	c.Store.Put("keyed.servers", r.ID, nil)
	time.Sleep(3 * time.Second)
	return check(c, t, r, drainedAt), nil
}

// check counts the requests that reached a replica later than the bound after the ack.
func check(c *kit2.Case, t *kit2.Traffic, r *kit2.Replica, drainedAt time.Time) int {
	broken, lost := 0, 0
	stopped := make(map[int]time.Time)
	for _, a := range r.Arrivals() {
		s := t.Request(a.ID)
		if a.At.Sub(drainedAt) <= drain {
			stopped[s.Gateway] = a.At
			continue
		}
		broken++
		if broken <= 5 {
			c.LogAt(a.At, "DRAIN broken: request %s, sent to edge-%d, reached %s %.3f s after the ack",
				a.ID, s.Gateway, r.ID, a.At.Sub(drainedAt).Seconds())
		}
		if s.Booking && s.Status != http.StatusOK {
			lost++
			c.LogAt(a.At, "booking %s began to run at %s, and its client got status %d", a.ID, r.ID, s.Status)
		}
	}
	for g, at := range stopped {
		c.Logf("edge-%d had stopped sending to %s %.3f s after the ack", g, r.ID, at.Sub(drainedAt).Seconds())
	}
	c.Logf("%d requests broke the rule at %s; %d of them are bookings whose answer was lost", broken, r.ID, lost)
	return broken
}
