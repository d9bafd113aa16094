package standin

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// CommandKind is the kind of a command to an engine.
type CommandKind string

// Kinds of engine commands.
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

// commandLog records the commands that an engine accepted. With checksFencing it
// refuses commands whose fencing token is lower than the highest one accepted.
type commandLog struct {
	checksFencing bool

	mu           sync.Mutex
	highestToken uint64
	accepted     []Command
}

func (s *commandLog) apply(c Command) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checksFencing && c.FencingToken < s.highestToken {
		return errkind.New(errkind.StaleFencingToken, "fencing token %d is lower than %d", c.FencingToken, s.highestToken)
	}
	s.highestToken = max(s.highestToken, c.FencingToken)
	s.accepted = append(s.accepted, c)
	return nil
}

func (s *commandLog) list() []Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Command{}, s.accepted...)
}

func (s *commandLog) serve(w http.ResponseWriter, r *http.Request) {
	var c Command
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		writeError(w, errkind.Wrap(errkind.InvalidRequest, err, "parse the command"))
		return
	}
	writeResult(w, c, s.apply(c))
}
