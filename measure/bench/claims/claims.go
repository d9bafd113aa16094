// Package claims compares claims in the log with keys that are bound to one
// sidecar incarnation. It measures appends per booking, entries per append and
// added latency, and the outcome of bookings in a log outage and after the
// failure of a sidecar.
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

// backendTime is the service time of the backend server for a booking.
const backendTime = 5 * time.Millisecond

// WriteReport runs all measurements and writes one line for each of them.
func (c *Cmd) WriteReport(w io.Writer) error {
	if err := writef(w, "seed %d, %s for each run, backend time %s (not part of the added latency)\n", c.Seed, c.Duration, backendTime); err != nil {
		return err
	}
	lines := make([]string, len(c.Rates)*len(c.Latencies))
	var runs sync.WaitGroup
	for i, latency := range c.Latencies {
		for j, rate := range c.Rates {
			runs.Add(1)
			go func() {
				defer runs.Done()
				lines[i*len(c.Rates)+j] = c.runConstantRate(latency, rate)
			}()
		}
	}
	runs.Wait()
	for _, line := range append(lines, c.runLogOutage(), c.runSidecarFailure()) {
		if err := writef(w, "%s", line); err != nil {
			return err
		}
	}
	return nil
}

func writef(w io.Writer, format string, args ...any) error {
	_, err := fmt.Fprintf(w, format, args...)
	return err
}

// bookingStats counts bookings by answer and records the added latency of those
// that were run.
type bookingStats struct {
	mu           sync.Mutex
	answers      map[string]int
	addedLatency *hdrhistogram.Histogram // microseconds
	maxDuration  time.Duration
}

func newBookingStats() *bookingStats {
	return &bookingStats{answers: make(map[string]int), addedLatency: hdrhistogram.New(1, 60_000_000, 3)}
}

// send sends one booking and records its answer.
func (s *bookingStats) send(e executor, key string) {
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
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxDuration = max(s.maxDuration, took)
	if err != nil {
		s.answers[errkind.Of(err).Execution.String()]++
		return
	}
	s.answers["done"]++
	_ = s.addedLatency.RecordValue(max(1, (took - backendTime).Microseconds()))
}

// sendBookings sends bookings as a Poisson process with the given rate and
// returns their keys after all are answered.
func (c *Cmd) sendBookings(stats *bookingStats, e executor, rate float64, d time.Duration) []string {
	rng := rand.New(rand.NewPCG(c.Seed, uint64(rate)))
	var sends sync.WaitGroup
	var keys []string
	for next, end := time.Now(), time.Now().Add(d); next.Before(end); {
		time.Sleep(time.Until(next))
		key := uuid.Must(uuid.NewV7()).String()
		keys = append(keys, key)
		if b, ok := e.(*boundExecutor); ok {
			b.IssueTicket(key)
		}
		sends.Add(1)
		go func() {
			defer sends.Done()
			stats.send(e, key)
		}()
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
	}
	sends.Wait()
	return keys
}

func (c *Cmd) newClient(log *delayedLog) *claimlog.Client {
	s := claimlog.DefaultSettings()
	s.Partitions = 1
	s.GroupDelay = c.GroupDelay
	return claimlog.New(log, uuid.NewString(), time.Now, s)
}

// closeClient shuts a client down and waits up to the given time until its
// outcomes are written.
func closeClient(client *claimlog.Client, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	_ = client.Shutdown(ctx)
}

func (c *Cmd) runConstantRate(latency time.Duration, rate float64) string {
	log, stats := newDelayedLog(latency), newBookingStats()
	client := c.newClient(log)
	n := len(c.sendBookings(stats, client, rate, c.Duration))
	closeClient(client, 10*time.Second)
	clientStats := client.Stats()
	_, size := log.size()
	return fmt.Sprintf("claims: append latency %s, %g bookings/s: %d bookings, %.2f appends/booking, %.2f entries/append, "+
		"%d B/booking, added latency p50 %.1f ms, p99 %.1f ms, answers %v\n",
		latency, rate, n, float64(clientStats.Appends)/float64(n), float64(clientStats.Entries)/float64(clientStats.Appends), size/n,
		float64(stats.addedLatency.ValueAtQuantile(50))/1000, float64(stats.addedLatency.ValueAtQuantile(99))/1000, stats.answers)
}

// runLogOutage measures a run during which the log is down.
func (c *Cmd) runLogOutage() string {
	log, stats := newDelayedLog(10*time.Millisecond), newBookingStats()
	client := c.newClient(log)
	log.setDown(true)
	c.sendBookings(stats, client, 75, c.Duration)
	closeClient(client, time.Second)
	boundStats := newBookingStats()
	c.sendBookings(boundStats, newBoundExecutor(), 75, c.Duration)
	return fmt.Sprintf("log outage of %s, 75 bookings/s: claims %v, slowest refusal %s; bound keys %v\n",
		c.Duration, stats.answers, stats.maxDuration.Round(time.Millisecond), boundStats.answers)
}

// runSidecarFailure stops a sidecar while 20 bookings are in flight. All keys are
// then sent again to another sidecar, as by callers that lost their answers.
func (c *Cmd) runSidecarFailure() string {
	log := newDelayedLog(10 * time.Millisecond)
	first, second := c.newClient(log), c.newClient(log)
	keys := c.sendBookings(newBookingStats(), first, 75, c.Duration)
	for range 20 { // their claims get no outcome
		key := uuid.Must(uuid.NewV7()).String()
		keys = append(keys, key)
		go newBookingStats().send(unresponsiveBackend{first}, key)
	}
	time.Sleep(200 * time.Millisecond)
	closeClient(first, 0)
	claimStats, boundStats := newBookingStats(), newBookingStats()
	for _, key := range keys {
		claimStats.send(second, key)
		boundStats.send(newBoundExecutor(), key)
	}
	closeClient(second, time.Second)
	return fmt.Sprintf("sidecar dies with 20 of %d bookings in flight, all keys sent again elsewhere: claims %v; bound keys %v\n",
		len(keys), claimStats.answers, boundStats.answers)
}

// unresponsiveBackend runs bookings on a backend server that never answers.
type unresponsiveBackend struct{ *claimlog.Client }

// Run implements executor.
func (h unresponsiveBackend) Run(ctx context.Context, r claim.Request, _ claimlog.RunFunc) (claim.Answer, error) {
	return h.Client.Run(ctx, r, func(ctx context.Context) (claim.Answer, error) {
		<-ctx.Done()
		return claim.Answer{}, ctx.Err()
	})
}
