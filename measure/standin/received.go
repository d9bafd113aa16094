package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// ReceivedPath returns the latest calls of a plain service or an engine as a JSON list
// of ReceivedCall: those after the number in the query parameter after.
const ReceivedPath = "/standin/received"

const (
	// maxReceivedCalls is the number of calls that are kept for ReceivedPath.
	maxReceivedCalls = 4096
	// receivedTextBytes is the length at which the text of a call is cut off.
	receivedTextBytes = 128
)

// ReceivedCall is a call that reached a backend server.
type ReceivedCall struct {
	Number uint64    `json:"number"` // from 1
	Time   time.Time `json:"time"`
	// Text is the beginning of the prompt or the body, or the path if the body is empty.
	Text string `json:"text"`
}

// receivedCalls keeps the latest calls. It is safe for concurrent use.
type receivedCalls struct {
	mu    sync.Mutex
	calls []ReceivedCall
	last  uint64
}

func (c *receivedCalls) add(text, path string) {
	if text == "" {
		text = path
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	c.calls = append(c.calls, ReceivedCall{Number: c.last, Time: time.Now(), Text: text[:min(len(text), receivedTextBytes)]})
	c.calls = c.calls[max(0, len(c.calls)-maxReceivedCalls):]
}

func (c *receivedCalls) serve(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // all calls without a number
	c.mu.Lock()
	list := []ReceivedCall{}
	for _, call := range c.calls {
		if call.Number > after {
			list = append(list, call)
		}
	}
	c.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}
