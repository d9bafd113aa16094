package scenarios

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/filbertmux/filbertmux/examples"
	"github.com/filbertmux/filbertmux/measure/standin"
)

// send sends a request through an entry and returns the call after its end. text is what
// the backend server sees of it.
func (r *randomRun) send(entry, text string, q callRequest) *call {
	r.mu.Lock()
	p := r.reachable[entry]
	r.mu.Unlock()
	r.evacuations.sending(text, p.offsetSeen.Load())
	q.url = "http://" + p.address + q.url
	q.token = examples.DevKey(callerOrganisation)
	c := &call{request: q, sent: time.Now()}
	c.send(&http.Client{Transport: r.client.Transport, Timeout: callTimeout})
	return c
}

func (r *randomRun) addressOf(name string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reachable[name].address
}

var entries = []string{"entry1", "entry2"}

func newBooking(body string) booking {
	return booking{key: uuid.Must(uuid.NewV7()).String(), body: body}
}

// addBooking makes the number of runs of a booking be checked at the end.
func (r *randomRun) addBooking(b booking) {
	r.environment.mu.Lock()
	defer r.environment.mu.Unlock()
	r.bookingKeys[b.key] = true
}

// finishBooking makes the final answer of a booking be checked, which is sent no more.
func (r *randomRun) finishBooking(b booking) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bookings = append(r.bookings, b)
}

func (r *randomRun) callBookings(rng *rand.Rand, caller int) {
	for n := 0; r.running(); n++ {
		b := newBooking(fmt.Sprintf("order-%d-%d", caller, n))
		b.concurrent = rng.IntN(4) == 0
		r.addBooking(b)
		for range maxBookingSends {
			if b.concurrent {
				var both sync.WaitGroup
				for _, e := range entries {
					both.Go(func() { r.sendBooking(e, b) })
				}
				both.Wait()
			} else if r.sendBooking(entries[rng.IntN(2)], b) {
				break
			}
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		}
		r.finishBooking(b)
	}
}

// sendBooking sends a booking once, checks the answer and reports whether the
// booking is done.
func (r *randomRun) sendBooking(entry string, b booking) bool {
	c := r.send(entry, b.body, callRequest{method: http.MethodPost, url: "/order-book/orders", key: b.key, body: b.body})
	if !b.concurrent {
		r.checkNotRun(b.body, c)
	}
	if c.status != http.StatusOK || c.err != nil {
		r.countEvent(resultName("booking", c))
		return false
	}
	r.countServed("booking")
	var a standin.PlainResponse
	if err := json.Unmarshal([]byte(c.body), &a); err != nil || a.Body != b.body || a.Run != 1 {
		r.recordViolation(fmt.Sprintf("booking %s got the answer %.200s", b.body, c.body))
	}
	return true
}

// resultName returns the counter name of an unsuccessful call.
func resultName(what string, c *call) string {
	if c.err != nil {
		return what + " broken"
	}
	return what + " " + c.refusal().Execution
}

func (r *randomRun) callLookups(rng *rand.Rand, caller int) {
	for n := 0; r.running(); n++ {
		r.sendLookup(entries[rng.IntN(2)], fmt.Sprintf("/stock/sku-%d-%d", caller, n))
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
	}
}

func (r *randomRun) sendLookup(entry, path string) bool {
	c := r.send(entry, path, callRequest{method: http.MethodGet, url: "/order-book" + path})
	if c.status != http.StatusOK || c.err != nil {
		r.countEvent(resultName("lookup", c))
		return false
	}
	r.countServed("lookup")
	var a standin.PlainResponse
	if err := json.Unmarshal([]byte(c.body), &a); err != nil || a.Path != path {
		r.recordViolation(fmt.Sprintf("lookup %s got the answer %.200s", path, c.body))
	}
	return true
}

func (r *randomRun) callCompletions(rng *rand.Rand, caller int) {
	for n := 0; r.running(); n++ {
		if !r.sendCompletion(entries[rng.IntN(2)], fmt.Sprintf("draft %d of caller %d", n, caller)) {
			time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		}
	}
}

// sendCompletion sends a streamed completion and reports whether the response is
// complete. It records a violation if a response ends as if complete and is not,
// or if the connection breaks although neither the entry was disturbed nor the
// caller timed out.
func (r *randomRun) sendCompletion(entry, prompt string) bool {
	body, err := json.Marshal(standin.ChatRequest{
		Model: "text-desk", Stream: true, MaxTokens: completionTokens,
		Messages: []standin.ChatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		r.recordViolation(err.Error())
		return false
	}
	impaired, disturbancesBefore := r.isImpaired(entry), r.disturbanceCount(entry)
	c := r.send(entry, prompt, callRequest{
		method: http.MethodPost, url: "/v1/chat/completions", body: string(body), prompt: prompt, tokens: completionTokens,
	})
	r.countEvent(fmt.Sprintf("completion %d %s", c.status, c.streamEnd))
	if c.status != http.StatusOK {
		return false
	}
	disturbed := impaired || r.disturbanceCount(entry) != disturbancesBefore
	if c.streamEnd == "broken" && !disturbed && time.Since(c.sent) < callTimeout {
		r.recordViolation(fmt.Sprintf("the connection of completion %q broke although its entry was not disturbed: %v", prompt, c.err))
	}
	if c.streamEnd != "clean" {
		return false
	}
	if err := c.check("whole"); err != nil {
		r.recordViolation(fmt.Sprintf("completion %q ended without an error but is incomplete: %v", prompt, err))
	}
	r.countServed("completion")
	return true
}

func (r *randomRun) isImpaired(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.impaired[name]
}

func (r *randomRun) disturbanceCount(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disturbances[name]
}

// publishRaces makes two operators change the same row of the same version
// concurrently, of whom at most one may succeed.
func (r *randomRun) publishRaces(rng *rand.Rand, stop <-chan struct{}) {
	platformURL := r.platformFlag()
	for {
		select {
		case <-stop:
			return
		default:
		}
		dir, err := os.MkdirTemp(r.dir, "race")
		if err != nil {
			r.recordViolation(err.Error())
			return
		}
		if code, _ := r.filbertmux("table", "export", dir+"a", platformURL); code != 0 {
			r.countEvent("export failed")
			continue
		}
		var codes [2]int
		var outputs [2]string
		var both sync.WaitGroup
		weight := 1 + rng.IntN(900)
		for i, operator := range []string{"a", "b"} {
			weights := filepath.Join(dir+operator, "weights.csv")
			if i == 1 {
				if err := os.CopyFS(dir+"b", os.DirFS(dir+"a")); err != nil {
					r.recordViolation(err.Error())
				}
			}
			if err := editWeight(weights, weight+i); err != nil {
				r.recordViolation(err.Error())
			}
			both.Go(func() {
				codes[i], outputs[i] = r.filbertmux("table", "publish", dir+operator, "--office=sibiu", platformURL)
			})
			time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
		}
		both.Wait()
		r.countEvent(fmt.Sprintf("publish codes %v", codes))
		if codes == [2]int{} {
			r.recordViolation(fmt.Sprintf("two operators both changed the same version of a row: %s", outputs))
		}
	}
}

// editWeight changes the weight of callerOrganisation in an exported weights.csv.
func editWeight(file string, weight int) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	lines := strings.Split(string(data), "\n")
	for i, line := range lines {
		fields := strings.Split(line, ",")
		if fields[0] == callerOrganisation {
			fields[1] = strconv.Itoa(weight)
			lines[i] = strings.Join(fields, ",")
		}
	}
	return os.WriteFile(file, []byte(strings.Join(lines, "\n")), 0o600)
}

// checkRecovered checks that the deployment serves every kind of call again
// without an operator, that a new change of the table comes into force
// everywhere, and that each booking has a consistent final answer.
func (r *randomRun) checkRecovered() error {
	faultsEnded := time.Now()
	if err := r.endEvacuations(); err != nil {
		return err
	}
	for _, e := range entries {
		if err := r.awaitLookup(e); err != nil {
			return err
		}
		if err := r.awaitCompletion(e); err != nil {
			return err
		}
	}
	r.t.Logf("serves again %s after the faults", time.Since(faultsEnded).Round(time.Millisecond))
	if err := r.checkTable(); err != nil {
		return err
	}
	if err := r.checkEvacuations(); err != nil {
		return err
	}
	r.readAllReceived()
	r.checkProcesses()
	return r.checkBookings()
}

// awaitLookup waits until an entry answers a lookup.
func (r *randomRun) awaitLookup(entry string) error {
	return poll(func() error {
		if !r.sendLookup(entry, "/stock/"+uuid.NewString()) {
			return fmt.Errorf("%s serves no lookups", entry)
		}
		return nil
	})
}

// awaitCompletion waits until an entry answers a completion.
func (r *randomRun) awaitCompletion(entry string) error {
	return poll(func() error {
		if !r.sendCompletion(entry, "after the faults "+uuid.NewString()) {
			return fmt.Errorf("%s serves no completions", entry)
		}
		return nil
	})
}

func (r *randomRun) checkTable() error {
	last, err := os.MkdirTemp(r.dir, "last")
	if err != nil {
		return err
	}
	code, out := r.filbertmux("table", "export", last, r.platformFlag())
	if code != 0 {
		return fmt.Errorf("table export: exit code %d: %s", code, out)
	}
	if err := editWeight(filepath.Join(last, "weights.csv"), 1+r.rng.IntN(900)); err != nil {
		return err
	}
	offset, err := r.publish(last)
	if err != nil {
		return err
	}
	return r.awaitInForce(offset)
}

// publish publishes a directory and returns the offset of the accepted change set.
func (r *randomRun) publish(dir string) (uint64, error) {
	code, out := r.filbertmux("table", "publish", dir, "--office=sibiu", r.platformFlag())
	m := acceptedLine.FindStringSubmatch(out)
	if code != 0 || m == nil {
		return 0, fmt.Errorf("table publish: exit code %d: %s", code, out)
	}
	return strconv.ParseUint(m[1], 10, 64)
}

// awaitInForce waits until all processes have a change that was just accepted in
// force, and records a violation if that takes longer than propagationBound.
func (r *randomRun) awaitInForce(offset uint64) error {
	accepted := time.Now()
	for _, d := range deployedProcesses {
		err := poll(func() error {
			got, err := r.tableOffset(r.processes[d.name])
			if err == nil && got < offset {
				err = fmt.Errorf("%s is at table offset %d, want %d", d.name, got, offset)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	if took := time.Since(accepted); took > propagationBound {
		r.recordViolation(fmt.Sprintf("the table was in force everywhere after %s, want %s", took, propagationBound))
	}
	return nil
}

// checkBookings checks the final answer of each booking that was sent since the last
// time and is sent no more.
func (r *randomRun) checkBookings() error {
	r.mu.Lock()
	bookings := r.bookings
	r.bookings = nil
	r.mu.Unlock()
	answers := make([]*call, len(bookings))
	var callers errgroup.Group
	callers.SetLimit(bookingCallers)
	for n, b := range bookings {
		callers.Go(func() error {
			var err error
			answers[n], err = r.finalAnswer(entries[n%2], b)
			return err
		})
	}
	if err := callers.Wait(); err != nil {
		return err
	}
	done := 0
	runs := r.runsByKey()
	for n, b := range bookings {
		c := answers[n]
		switch {
		case c.status == http.StatusOK && runs[b.key] == 1:
			done++
		case c.refusal().Execution == "unknown" && runs[b.key] <= 1:
		default:
			r.recordViolation(fmt.Sprintf("booking %s ran %d times, its final answer is %d %.300s", b.body, runs[b.key], c.status, c.body))
		}
	}
	r.t.Logf("%d bookings: %d done, the others are permanently unknown", len(bookings), done)
	return nil
}

// finalAnswer repeats a booking until its answer is final: done, or unknown if its
// owner died during the run. A claim without an outcome is reported as in progress
// for its first minutes, because no process knows whether its owner has died.
func (r *randomRun) finalAnswer(entry string, b booking) (*call, error) {
	var c *call
	err := poll(func() error {
		c = r.send(entry, b.body, callRequest{method: http.MethodPost, url: "/order-book/orders", key: b.key, body: b.body})
		if c.err != nil {
			return c.err
		}
		if c.header.Get("Retry-After") != "" && c.refusal().Kind != "in_progress" {
			return fmt.Errorf("booking %s: status %d, %.300s", b.body, c.status, c.body)
		}
		return nil
	})
	return c, err
}
