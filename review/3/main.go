// Command 3 shows that a gateway leaves out the first pieces of a stream that it resumes at
// another replica, if the ids of the first replica's events aren't consecutive.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/review/kit"
)

const (
	// tokens is the number of tokens of each answer.
	tokens = 40
	// singleEvents is the number of events with one token with which each stream begins.
	singleEvents = 3
	// tokensPerEvent is the number of tokens of the later events of the replica that
	// generates several tokens at once.
	tokensPerEvent = 5
	eventInterval  = 20 * time.Millisecond
	streams        = 20
	streamInterval = 100 * time.Millisecond
	deadline       = 8 * time.Second
)

func main() { kit.Run("review/3", run) }

// handler returns a model replica that generates perEvent tokens an event. The id of an event
// is the number of tokens up to its end.
func handler(perEvent int) func(rep *kit.Replica, w http.ResponseWriter, r *http.Request) {
	return func(rep *kit.Replica, w http.ResponseWriter, r *http.Request) {
		done, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		rep.Ran(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		// The events of the first pass leave in one write.
		first := ""
		for n := range singleEvents + 1 {
			size := 1
			if n == singleEvents {
				size = perEvent
			}
			first += event(&done, size)
		}
		_, _ = w.Write([]byte(first))
		for done < tokens && http.NewResponseController(w).Flush() == nil {
			time.Sleep(eventInterval)
			_, _ = w.Write([]byte(event(&done, perEvent)))
		}
	}
}

// event returns the next event, with up to size tokens after the first done ones.
func event(done *int, size int) string {
	var words []string
	for len(words) < size && *done < tokens {
		*done++
		words = append(words, fmt.Sprintf("t%d", *done))
	}
	if len(words) == 0 {
		return ""
	}
	return fmt.Sprintf("id: %d\ndata: %s\n\n", *done, strings.Join(words, " "))
}

func run(c *kit.Case) (int, error) {
	c.Publish(kit.Config(7))
	perEvent := 1
	if c.Trouble {
		perEvent = tokensPerEvent
	}
	for id, size := range map[string]int{"i-1": perEvent, "i-2": 1} {
		rep, err := c.StartReplica(id, handler(size))
		if err != nil {
			return kit.NotRun, err
		}
		defer rep.Close()
		c.Register(id, kit.ModelService, rep.Address, "ready", 12, rep.Born)
		c.Logf("replica %s generates up to %d tokens an event", id, size)
	}
	g, err := c.StartGateway("edge-1", c.Store.Address())
	if err != nil {
		return kit.NotRun, err
	}
	var mu sync.Mutex
	complete, wrong := 0, 0
	var wg sync.WaitGroup
	for n := range streams {
		wg.Go(func() {
			isComplete, missing := stream(c, g.Address, n)
			mu.Lock()
			defer mu.Unlock()
			if isComplete {
				complete++
			}
			if isComplete && len(missing) > 0 {
				wrong++
			}
		})
		time.Sleep(streamInterval)
	}
	wg.Wait()
	c.Logf("%d of %d streams ended as complete; %d of them without some pieces", complete, streams, wrong)
	if complete == 0 {
		return kit.NotRun, errors.New("no stream ended as complete")
	}
	if wrong > 0 {
		c.Logf("ORDER is broken: in a stream a piece is missing")
		return kit.Broken, nil
	}
	return kit.Held, nil
}

// stream requests a stream. It reports whether the answer ended as complete, and which tokens
// are missing in it.
func stream(c *kit.Case, address string, n int) (complete bool, missing []string) {
	ch, err := kit.Dial(address)
	if err != nil {
		c.Disturbed("no channel", err)
		return false, nil
	}
	defer ch.Close()
	r := kit.Request{
		Method: http.MethodPost, Path: kit.StreamPath + "label", ID: fmt.Sprintf("draft-%d", n), Deadline: deadline,
		Body: fmt.Sprintf("label %d", n), Header: map[string]string{"X-Model-Id": "m", "X-Token-Usage": "700,60"},
	}
	a := ch.Do(r)
	got := make(map[string]bool)
	for line := range strings.Lines(a.Body) {
		if data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok {
			for _, word := range strings.Fields(data) {
				got[word] = true
			}
		}
	}
	for k := 1; k <= tokens; k++ {
		if word := fmt.Sprintf("t%d", k); !got[word] {
			missing = append(missing, word)
		}
	}
	c.Logf("%s: %s; missing tokens: %v", r.ID, a, missing)
	return a.Status == http.StatusOK && a.Err == nil, missing
}
