package standin

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// CommandKind names what an engine is told to do.
type CommandKind string

// Commands of an engine.
const (
	LoadModel   CommandKind = "load_model"
	LoadAdapter CommandKind = "load_adapter"
	SetRole     CommandKind = "set_role"
)

// Command is the JSON body of POST /v1/commands.
type Command struct {
	Kind         CommandKind `json:"kind"`
	Value        string      `json:"value"`
	FencingToken uint64      `json:"fencing_token"`
}

// commandState holds the commands that an engine took. With checksFencing it
// refuses a command whose token is lower than the highest one seen.
type commandState struct {
	checksFencing bool

	mu      sync.Mutex
	highest uint64
	taken   []Command
}

func (s *commandState) apply(c Command) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checksFencing && c.FencingToken < s.highest {
		return errkind.New(errkind.StaleFencingToken, "token %d is lower than %d", c.FencingToken, s.highest)
	}
	s.highest = max(s.highest, c.FencingToken)
	s.taken = append(s.taken, c)
	return nil
}

func (s *commandState) list() []Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Command{}, s.taken...)
}

func (s *commandState) serve(w http.ResponseWriter, r *http.Request) {
	var c Command
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		writeError(w, errkind.Wrap(errkind.InvalidRequest, err, "command"))
		return
	}
	writeResult(w, c, s.apply(c))
}
