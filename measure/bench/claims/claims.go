// Package claims measures claims on the log against keys that are bound to one
// sidecar incarnation: appends per booking, group size, added latency, and what
// bookings do in a log outage and when an instance dies.
package claims

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/claim"
	"github.com/filbertmux/filbertmux/serve/claimlog"
)

// Cmd is the command filbertmux-bench claims.
type Cmd struct {
	Seed       uint64          `help:"Seed of the arrival times." default:"1"`
	Duration   time.Duration   `help:"Time of each run." default:"5s"`
	Rates      []float64       `help:"Bookings per second of one partition." default:"5,25,75,300"`
	Latencies  []time.Duration `help:"Append latencies of the log." default:"2ms,10ms,50ms"`
	GroupDelay time.Duration   `help:"Group commit delay." default:"3ms"`
}

// Run implements the kong command.
func (c *Cmd) Run() error { return c.WriteReport(os.Stdout) }

// backendTime is the time that the backend server takes for a booking.
const backendTime = 5 * time.Millisecond

// WriteReport runs all measurements and writes one line for each.
func (c *Cmd) WriteReport(w io.Writer) error {
	if err := emit(w, "seed %d, %s for each run, backend time %s (not part of the added latency)\n", c.Seed, c.Duration, backendTime); err != nil {
		return err
	}
	lines := make([]string, len(c.Rates)*len(c.Latencies))
	var runs sync.WaitGroup
	for i, latency := range c.Latencies {
		for j, rate := range c.Rates {
			runs.Add(1)
			go func() {
				defer runs.Done()
				lines[i*len(c.Rates)+j] = c.steady(latency, rate)
			}()
		}
	}
	runs.Wait()
	for _, line := range append(lines, c.outage(), c.death()) {
		if err := emit(w, "%s", line); err != nil {
			return err
		}
	}
	return nil
}

func emit(w io.Writer, format string, args ...any) error {
	_, err := fmt.Fprintf(w, format, args...)
	return err
}

// tally counts answers and the added latency of those that ran.
type tally struct {
	mu      sync.Mutex
	answers map[string]int
	added   *hdrhistogram.Histogram // microseconds
	slowest time.Duration
}

func newTally() *tally {
	return &tally{answers: make(map[string]int), added: hdrhistogram.New(1, 60_000_000, 3)}
}

// send makes one booking and counts its answer.
func (t *tally) send(e executor, key string) {
	start := time.Now()
	r := claim.Request{
		Organisation: "org", Service: "order-book", Key: key, BodyHash: "h",
		Deadline: start.Add(10 * time.Second),
	}
	_, err := e.Run(context.Background(), r, func(context.Context) (claim.Answer, error) {
		time.Sleep(backendTime)
		return claim.Answer{Status: 201, Body: []byte(`{"booking":"accepted"}`)}, nil
	})
	took := time.Since(start)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowest = max(t.slowest, took)
	if err != nil {
		t.answers[errkind.Of(err).Execution.String()]++
		return
	}
	t.answers["done"]++
	_ = t.added.RecordValue(max(1, (took - backendTime).Microseconds()))
}

// offer sends bookings at the given rate with exponential gaps and returns
// their keys once all are answered.
func (c *Cmd) offer(t *tally, e executor, rate float64, d time.Duration) []string {
	rng := rand.New(rand.NewPCG(c.Seed, uint64(rate)))
	var sends sync.WaitGroup
	var keys []string
	for next, end := time.Now(), time.Now().Add(d); next.Before(end); {
		time.Sleep(time.Until(next))
		key := uuid.Must(uuid.NewV7()).String()
		keys = append(keys, key)
		if b, ok := e.(*bound); ok {
			b.Ticket(key)
		}
		sends.Add(1)
		go func() {
			defer sends.Done()
			t.send(e, key)
		}()
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
	}
	sends.Wait()
	return keys
}

func (c *Cmd) client(log *slowLog) *claimlog.Client {
	s := claimlog.DefaultSettings()
	s.Partitions = 1
	s.GroupDelay = c.GroupDelay
	return claimlog.New(log, uuid.NewString(), time.Now, s)
}

// closeClient ends a client and waits for its outcomes.
func closeClient(client *claimlog.Client, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	_ = client.Shutdown(ctx)
}

func (c *Cmd) steady(latency time.Duration, rate float64) string {
	log, t := newSlowLog(latency), newTally()
	client := c.client(log)
	n := len(c.offer(t, client, rate, c.Duration))
	closeClient(client, 10*time.Second)
	s := client.Stats()
	_, size := log.size()
	return fmt.Sprintf("claims: append latency %s, %g bookings/s: %d bookings, %.2f appends/booking, %.2f entries/append, "+
		"%d B/booking, added latency p50 %.1f ms, p99 %.1f ms, answers %v\n",
		latency, rate, n, float64(s.Appends)/float64(n), float64(s.Entries)/float64(s.Appends), size/n,
		float64(t.added.ValueAtQuantile(50))/1000, float64(t.added.ValueAtQuantile(99))/1000, t.answers)
}

// outage takes the log down for the whole run.
func (c *Cmd) outage() string {
	log, t := newSlowLog(10*time.Millisecond), newTally()
	client := c.client(log)
	log.setDown(true)
	c.offer(t, client, 75, c.Duration)
	closeClient(client, time.Second)
	alone := newTally()
	c.offer(alone, newBound(), 75, c.Duration)
	return fmt.Sprintf("log outage of %s, 75 bookings/s: claims %v, slowest refusal %s; bound keys %v\n",
		c.Duration, t.answers, t.slowest.Round(time.Millisecond), alone.answers)
}

// death kills the sidecar after a run with the last bookings in flight; their
// callers and those that lost the answer send all keys again to another one.
func (c *Cmd) death() string {
	log := newSlowLog(10 * time.Millisecond)
	first, second := c.client(log), c.client(log)
	keys := c.offer(newTally(), first, 75, c.Duration)
	for range 20 { // claims without outcome
		key := uuid.Must(uuid.NewV7()).String()
		keys = append(keys, key)
		go newTally().send(hanging{first}, key)
	}
	time.Sleep(200 * time.Millisecond)
	closeClient(first, 0)
	again, alone := newTally(), newTally()
	for _, key := range keys {
		again.send(second, key)
		alone.send(newBound(), key)
	}
	closeClient(second, time.Second)
	return fmt.Sprintf("sidecar dies with 20 of %d bookings in flight, all keys sent again elsewhere: claims %v; bound keys %v\n",
		len(keys), again.answers, alone.answers)
}

// hanging replaces the backend server by one that never answers.
type hanging struct{ *claimlog.Client }

// Run implements executor.
func (h hanging) Run(ctx context.Context, r claim.Request, _ claimlog.RunFunc) (claim.Answer, error) {
	return h.Client.Run(ctx, r, func(ctx context.Context) (claim.Answer, error) {
		<-ctx.Done()
		return claim.Answer{}, ctx.Err()
	})
}
