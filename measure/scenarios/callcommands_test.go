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

func (r *run) newKey(args []string) error {
	for _, name := range args {
		r.Setenv(name, uuid.Must(uuid.NewV7()).String())
	}
	return nil
}

func (r *run) call(args []string) error {
	p, err := r.process(args[1])
	if err != nil {
		return err
	}
	q := request{method: args[2], url: "http://" + p.address + args[3], token: examples.DevKey(caller)}
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
			q.again = true
		default:
			return fmt.Errorf("unknown option %s", name)
		}
	}
	r.begin(args[0], q)
	return nil
}

func (r *run) completion(args []string) error {
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
		prompt += " " + strings.Repeat("x", slowWordBytes)
	}
	body, err := json.Marshal(standin.ChatRequest{
		Model: "text-desk", Stream: true, MaxTokens: tokens,
		Messages: []standin.ChatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return err
	}
	q := request{
		method: http.MethodPost, url: "http://" + p.address + "/v1/chat/completions",
		token: examples.DevKey(caller), body: string(body), prompt: prompt, tokens: tokens,
	}
	if slow {
		q.slow = make(chan struct{})
	}
	r.begin(args[0], q)
	return nil
}

// readOn lets a slow caller read the rest of its answer.
func (r *run) readOn(args []string) error {
	c, err := r.callOf(args[0])
	if err != nil {
		return err
	}
	close(c.request.slow)
	return nil
}

func (r *run) callOf(id string) (*call, error) {
	if c := r.calls[id]; c != nil {
		return c, nil
	}
	return nil, fmt.Errorf("no call %s", id)
}

func (r *run) events(args []string) error {
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

func (r *run) answer(args []string) error {
	c, err := r.callOf(args[0])
	if err != nil {
		return err
	}
	select {
	case <-c.done:
	case <-time.After(patience):
		return fmt.Errorf("call %s has no answer after %s", args[0], patience)
	}
	r.Logf("%s: status %d end %s after %s err %v: %.400s", args[0], c.status, c.end, c.duration.Round(time.Millisecond), c.err, c.body)
	for _, condition := range args[1:] {
		if err := c.check(condition); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) waiting(args []string) error {
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

func (r *run) runs(args []string) error {
	want := strings.Split(args[1], "|")
	got := strconv.Itoa(r.world.runs(args[0]))
	if !slices.Contains(want, got) {
		return fmt.Errorf("key %s ran %s times, want %s", args[0], got, args[1])
	}
	return nil
}

// oneAnswer waits until one of two calls is answered and checks it. With the
// second use it is the other one's turn.
func (r *run) oneAnswer(args []string) error {
	return poll(func() error {
		for _, id := range args[:2] {
			c, err := r.callOf(id)
			if err != nil {
				return fatalError{err}
			}
			if c.taken || !c.answered() {
				continue
			}
			c.taken = true
			if err := r.answer(append([]string{id}, args[2:]...)); err != nil {
				return fatalError{err}
			}
			return nil
		}
		return fmt.Errorf("neither %s nor %s is answered", args[0], args[1])
	})
}
