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
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/examples"
	"github.com/filbertmux/filbertmux/measure/standin"
)

// send makes one call and returns it when it ended.
func (r *randomRun) send(entry string, q request) *call {
	q.url = "http://" + r.addressOf(entry) + q.url
	q.token = examples.DevKey(caller)
	c := &call{request: q, sent: time.Now()}
	c.send(&http.Client{Transport: r.client.Transport, Timeout: callTimeout})
	return c
}

func (r *randomRun) addressOf(name string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addresses[name]
}

var entries = []string{"entry1", "entry2"}

func (r *randomRun) callBookings(rng *rand.Rand, caller int) {
	for n := 0; r.running(); n++ {
		b := booking{
			key: uuid.Must(uuid.NewV7()).String(), body: fmt.Sprintf("order-%d-%d", caller, n),
			concurrent: rng.IntN(4) == 0,
		}
		r.mu.Lock()
		r.bookings = append(r.bookings, b)
		r.mu.Unlock()
		r.world.mu.Lock()
		r.keys[b.key] = true
		r.world.mu.Unlock()
		for range maxSends {
			if b.concurrent {
				var both sync.WaitGroup
				for _, e := range entries {
					both.Go(func() { r.book(e, b) })
				}
				both.Wait()
			} else if r.book(entries[rng.IntN(2)], b) {
				break
			}
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		}
	}
}

// book sends a booking once, checks the answer and reports whether the booking
// is done.
func (r *randomRun) book(entry string, b booking) bool {
	c := r.send(entry, request{method: http.MethodPost, url: "/order-book/orders", key: b.key, body: b.body})
	if !b.concurrent {
		r.checkNotRun(b.body, c)
	}
	if c.status != http.StatusOK || c.err != nil {
		r.count(outcomeOf("booking", c))
		return false
	}
	r.count("booking done")
	var a standin.PlainResponse
	if err := json.Unmarshal([]byte(c.body), &a); err != nil || a.Body != b.body || a.Run != 1 {
		r.fault(fmt.Sprintf("booking %s got the answer %.200s", b.body, c.body))
	}
	return true
}

// outcomeOf names the result of a call that was not answered.
func outcomeOf(what string, c *call) string {
	if c.err != nil {
		return what + " broken"
	}
	return what + " " + c.refusal().Execution
}

func (r *randomRun) callLookups(rng *rand.Rand, caller int) {
	for n := 0; r.running(); n++ {
		r.lookup(entries[rng.IntN(2)], fmt.Sprintf("/stock/sku-%d-%d", caller, n))
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
	}
}

func (r *randomRun) lookup(entry, path string) bool {
	c := r.send(entry, request{method: http.MethodGet, url: "/order-book" + path})
	if c.status != http.StatusOK || c.err != nil {
		r.count(outcomeOf("lookup", c))
		return false
	}
	r.count("lookup done")
	var a standin.PlainResponse
	if err := json.Unmarshal([]byte(c.body), &a); err != nil || a.Path != path {
		r.fault(fmt.Sprintf("lookup %s got the answer %.200s", path, c.body))
	}
	return true
}

func (r *randomRun) callCompletions(rng *rand.Rand, caller int) {
	for n := 0; r.running(); n++ {
		if !r.complete(entries[rng.IntN(2)], fmt.Sprintf("draft %d of caller %d", n, caller)) {
			time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		}
	}
}

// complete sends a streamed completion. An answer that ends clean is whole; a
// connection breaks only with its entry or at the time-out of the caller.
func (r *randomRun) complete(entry, prompt string) bool {
	body, err := json.Marshal(standin.ChatRequest{
		Model: "text-desk", Stream: true, MaxTokens: completionTokens,
		Messages: []standin.ChatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		r.fault(err.Error())
		return false
	}
	killsBefore := r.killsOf(entry)
	c := r.send(entry, request{
		method: http.MethodPost, url: "/v1/chat/completions", body: string(body), prompt: prompt, tokens: completionTokens,
	})
	r.count(fmt.Sprintf("completion %d %s", c.status, c.end))
	if c.status != http.StatusOK {
		return false
	}
	if c.end == "broken" && r.killsOf(entry) == killsBefore && killsBefore == 0 && time.Since(c.sent) < callTimeout {
		r.fault(fmt.Sprintf("completion %q broke off and its entry was not disturbed: %v", prompt, c.err))
	}
	if c.end != "clean" {
		return false
	}
	if err := c.check("whole"); err != nil {
		r.fault(fmt.Sprintf("completion %q ended clean and is not whole: %v", prompt, err))
	}
	return true
}

func (r *randomRun) killsOf(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kills[name]
}

// publishRaces lets two operators change the same row from the same version.
func (r *randomRun) publishRaces(rng *rand.Rand) {
	platformURL := "--platform=http://" + r.addressOf("platform")
	for n := 0; r.running(); n++ {
		dir := fmt.Sprintf("race%d", n)
		if code, _ := r.filbertmux("table", "export", dir+"a", platformURL); code != 0 {
			r.count("export failed")
			continue
		}
		var codes [2]int
		var outputs [2]string
		var both sync.WaitGroup
		weight := 1 + rng.IntN(900)
		for i, operator := range []string{"a", "b"} {
			weights := filepath.Join(r.dir, dir+operator, "weights.csv")
			if i == 1 {
				if err := os.CopyFS(filepath.Join(r.dir, dir+"b"), os.DirFS(filepath.Join(r.dir, dir+"a"))); err != nil {
					r.fault(err.Error())
				}
			}
			if err := setWeight(weights, weight+i); err != nil {
				r.fault(err.Error())
			}
			both.Go(func() {
				codes[i], outputs[i] = r.filbertmux("table", "publish", dir+operator, "--office=sibiu", platformURL)
			})
			time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
		}
		both.Wait()
		r.count(fmt.Sprintf("publish codes %v", codes))
		if codes == [2]int{} {
			r.fault(fmt.Sprintf("two operators changed one row from one version: %s", outputs))
		}
	}
}

// setWeight changes the weight of the caller's organisation in an exported
// sheet.
func setWeight(file string, weight int) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	lines := strings.Split(string(data), "\n")
	for i, line := range lines {
		fields := strings.Split(line, ",")
		if fields[0] == caller {
			fields[1] = strconv.Itoa(weight)
			lines[i] = strings.Join(fields, ",")
		}
	}
	return os.WriteFile(file, []byte(strings.Join(lines, "\n")), 0o600)
}

// checkRecovered checks that the deployment serves every kind of call again
// without an operator, that each booking has one final answer, and that the
// newest table is in force everywhere.
func (r *randomRun) checkRecovered(t *testing.T) {
	healed := time.Now()
	for _, e := range entries {
		require.NoError(t, poll(func() error {
			if !r.lookup(e, "/stock/after-"+e) || !r.complete(e, "after the faults at "+e) {
				return fmt.Errorf("%s does not serve", e)
			}
			return nil
		}))
	}
	t.Logf("serves again %s after the faults", time.Since(healed).Round(time.Millisecond))
	r.checkTable(t)
	r.checkBookings(t)
}

func (r *randomRun) checkTable(t *testing.T) {
	platformURL := "--platform=http://" + r.processes["platform"].address
	code, out := r.filbertmux("table", "export", "last", platformURL)
	require.Zero(t, code, out)
	require.NoError(t, setWeight(filepath.Join(r.dir, "last", "weights.csv"), 999))
	code, out = r.filbertmux("table", "publish", "last", "--office=sibiu", platformURL)
	require.Zero(t, code, out)
	m := acceptedAt.FindStringSubmatch(out)
	require.NotNil(t, m, out)
	offset, err := strconv.ParseUint(m[1], 10, 64)
	require.NoError(t, err)
	accepted := time.Now()
	for _, d := range deployment {
		require.NoError(t, poll(func() error {
			got, err := r.tableOffset(r.processes[d.name])
			if err == nil && got < offset {
				err = fmt.Errorf("%s is at table offset %d, want %d", d.name, got, offset)
			}
			return err
		}))
	}
	if took := time.Since(accepted); took > inForceBound {
		r.fault(fmt.Sprintf("the table was in force everywhere after %s, want %s", took, inForceBound))
	}
}

// checkBookings sends each booking again until its answer is final: done, or
// unknown if its owner died during the run. A claim without outcome is
// "in progress" for its first minutes, because nobody knows that its owner died.
func (r *randomRun) checkBookings(t *testing.T) {
	done, unknown := 0, 0
	for n, b := range r.bookings {
		var c *call
		require.NoError(t, poll(func() error {
			c = r.send(entries[n%2], request{method: http.MethodPost, url: "/order-book/orders", key: b.key, body: b.body})
			if c.err != nil {
				return c.err
			}
			if c.header.Get("Retry-After") != "" && c.refusal().Kind != "in_progress" {
				return fmt.Errorf("booking %s: status %d, %.300s", b.body, c.status, c.body)
			}
			return nil
		}))
		runs := r.world.runs(b.key)
		switch {
		case c.status == http.StatusOK && runs == 1:
			done++
		case c.refusal().Execution == "unknown" && runs <= 1:
			unknown++
		default:
			r.fault(fmt.Sprintf("booking %s ran %d times, its final answer is %d %.300s", b.body, runs, c.status, c.body))
		}
	}
	t.Logf("%d bookings: %d done, %d unknown for good", len(r.bookings), done, unknown)
}
