package scenarios

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/filbertmux/filbertmux/examples"
	"github.com/filbertmux/filbertmux/measure/standin"
)

func (r *scriptCommand) newKey(args []string) error {
	for _, name := range args {
		r.Setenv(name, uuid.Must(uuid.NewV7()).String())
	}
	return nil
}

func (r *scriptCommand) call(args []string) error {
	p, err := r.process(args[1])
	if err != nil {
		return err
	}
	q := callRequest{method: args[2], url: "http://" + p.address + args[3], token: examples.DevKey(callerOrganisation)}
	for _, option := range args[4:] {
		name, value, _ := strings.Cut(option, "=")
		switch name {
		case "-key":
			q.key = value
		case "-token":
			q.token = value
		case "-body":
			q.body = value
		case "-bytes":
			n, err := strconv.Atoi(value)
			if err != nil {
				return err
			}
			q.body = strings.Repeat("x", n)
		case "-header-bytes":
			n, err := strconv.Atoi(value)
			if err != nil {
				return err
			}
			q.token = strings.Repeat("x", n)
		case "-again":
			q.retryRefused = true
		default:
			return fmt.Errorf("unknown option %s", name)
		}
	}
	r.startCall(args[0], q)
	return nil
}

func (r *scriptCommand) completion(args []string) error {
	p, err := r.process(args[1])
	if err != nil {
		return err
	}
	tokens, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	prompt := "draft for " + args[0]
	slow := slices.Contains(args[3:], "-slow")
	if slow {
		prompt += " " + strings.Repeat("x", slowReaderWordBytes)
	}
	body, err := json.Marshal(standin.ChatRequest{
		Model: "text-desk", Stream: true, MaxTokens: tokens,
		Messages: []standin.ChatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return err
	}
	q := callRequest{
		method: http.MethodPost, url: "http://" + p.address + "/v1/chat/completions",
		token: examples.DevKey(callerOrganisation), body: string(body), prompt: prompt, tokens: tokens,
	}
	if slow {
		q.resumeReading = make(chan struct{})
	}
	r.startCall(args[0], q)
	return nil
}

// readOn makes a slow caller read the rest of its response.
func (r *scriptCommand) readOn(args []string) error {
	c, err := r.callOf(args[0])
	if err != nil {
		return err
	}
	close(c.request.resumeReading)
	return nil
}

func (r *scriptCommand) callOf(id string) (*call, error) {
	if c := r.calls[id]; c != nil {
		return c, nil
	}
	return nil, fmt.Errorf("no call %s", id)
}

func (r *scriptCommand) events(args []string) error {
	c, err := r.callOf(args[0])
	if err != nil {
		return err
	}
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	return poll(func() error {
		if got := c.eventCount(); got < want {
			return fmt.Errorf("%d events", got)
		}
		return nil
	})
}

func (r *scriptCommand) answer(args []string) error {
	c, err := r.callOf(args[0])
	if err != nil {
		return err
	}
	select {
	case <-c.done:
	case <-time.After(pollTimeout):
		return fmt.Errorf("call %s has no answer after %s", args[0], pollTimeout)
	}
	r.Logf("%s: status %d end %s after %s err %v: %.400s", args[0], c.status, c.streamEnd, c.duration.Round(time.Millisecond), c.err, c.body)
	for _, condition := range args[1:] {
		if err := c.check(condition); err != nil {
			return err
		}
	}
	return nil
}

func (r *scriptCommand) waiting(args []string) error {
	for _, id := range args {
		c, err := r.callOf(id)
		if err != nil {
			return err
		}
		if c.answered() {
			return fmt.Errorf("call %s is answered: %d %.400s", id, c.status, c.body)
		}
	}
	return nil
}

func (r *scriptCommand) runs(args []string) error {
	want := strings.Split(args[1], "|")
	got := strconv.Itoa(r.environment.runs(args[0]))
	if !slices.Contains(want, got) {
		return fmt.Errorf("key %s ran %s times, want %s", args[0], got, args[1])
	}
	return nil
}

// oneAnswer waits until one of two calls is answered and checks its answer. A
// second use for the same calls waits for the other one.
func (r *scriptCommand) oneAnswer(args []string) error {
	return poll(func() error {
		for _, id := range args[:2] {
			c, err := r.callOf(id)
			if err != nil {
				return permanentError{err}
			}
			if c.claimedByOneAnswer || !c.answered() {
				continue
			}
			c.claimedByOneAnswer = true
			if err := r.answer(append([]string{id}, args[2:]...)); err != nil {
				return permanentError{err}
			}
			return nil
		}
		return fmt.Errorf("neither %s nor %s is answered", args[0], args[1])
	})
}
