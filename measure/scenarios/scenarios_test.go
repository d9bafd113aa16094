package scenarios

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/filbertmux/filbertmux/daemons/cli"
)

// maxScripts bounds the scripts that run at once. Each has up to a dozen
// processes.
const maxScripts = 4

var scriptSlots = make(chan struct{}, maxScripts)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"filbertmux": func() {
			os.Exit(cli.Main(context.Background(), os.Args[1:], cli.StandardStreams()))
		},
	})
}

// runScript runs one script of testdata/script.
func runScript(t *testing.T, name string) {
	t.Parallel()
	scriptSlots <- struct{}{}
	defer func() { <-scriptSlots }()
	testscript.RunT(scriptT{t}, testscript.Params{
		Files: []string{filepath.Join("testdata", "script", name+".txtar")},
		Setup: setup,
		Cmds:  commands,
	})
}

// scriptT runs a script within its top-level test. As a parallel subtest it
// would wait for the tests that wait for its slot.
type scriptT struct{ *testing.T }

// Parallel implements testscript.T.
func (scriptT) Parallel() {}

// Run implements testscript.T.
func (t scriptT) Run(name string, f func(testscript.T)) {
	t.T.Run(name, func(t *testing.T) { f(scriptT{t}) })
}

// Verbose implements testscript.T.
func (scriptT) Verbose() bool { return testing.Verbose() }

// Guards against a path that is broken anywhere between separate processes.
func TestPath(t *testing.T) { runScript(t, "path") }

// Guards against a daemon that starts with bad settings, reports them one by
// one, or ends with a code that scripts can't tell from a crash.
func TestSettings(t *testing.T) { runScript(t, "settings") }

// Guards against a bad call that is forwarded or answered without an error
// kind and an execution status.
func TestCalls(t *testing.T) { runScript(t, "calls") }

// Guards against a booking that runs twice, or is answered not_run after it
// ran, when its sidecar is killed before, during or after the run.
func TestBookingKill(t *testing.T) { runScript(t, "booking-kill") }

// Guards against a not_run answer for a key that ran, when the entry reaches no
// sidecar that could read the log.
func TestBookingUnreachable(t *testing.T) { runScript(t, "booking-unreachable") }

// Guards against a second run by a sidecar that was paused while another one
// got its key.
func TestBookingFrozen(t *testing.T) { runScript(t, "booking-frozen") }

// Guards against a run by a thawed sidecar whose claim comes after another one.
func TestBookingLate(t *testing.T) { runScript(t, "booking-late") }

// Guards against a second run after a lost append answer, after a log outage,
// or of a key that comes through two entries at once.
func TestBookingLog(t *testing.T) { runScript(t, "booking-log") }

// Guards against an answer that is cut off and looks whole, and against one
// that is lost with a connection although its sidecar still has it.
func TestAnswers(t *testing.T) { runScript(t, "answers") }

// Guards against a caller that reads slowly and gets a part of its answer, holds
// up the answers of others, or keeps an attempt open after it has left.
func TestSlowReader(t *testing.T) { runScript(t, "answers-slow") }

// Guards against new work for a sidecar that leaves, and against a shutdown
// that cuts off a stream.
func TestLeaving(t *testing.T) { runScript(t, "leaving") }

// Guards against lost work when entry and sidecar leave together while the log
// is down.
func TestLeavingBoth(t *testing.T) { runScript(t, "leaving-both") }

// Guards against table commands whose output or exit code an operator's script
// can't rely on.
func TestTableCommands(t *testing.T) { runScript(t, "table-cli") }

// Guards against two winners of a race on one row, a lost refusal, and a
// change that is published twice.
func TestTableRace(t *testing.T) { runScript(t, "table-race") }

// Guards against a process that stays behind, or can't start, while the log is
// down.
func TestTableOutage(t *testing.T) { runScript(t, "table-outage") }

// Guards against publish --wait that returns too early, hangs on an instance
// that does not answer, or does not name it.
func TestTableWait(t *testing.T) { runScript(t, "table-wait") }

// Guards against publish --wait that can't ask the entries.
func TestTableWaitEntry(t *testing.T) { runScript(t, "table-wait-entry") }

// Guards against a group whose ranks use different maps, or that stops,
// although nothing fails.
func TestGroupSwitch(t *testing.T) { runScript(t, "group-switch") }

// Guards against a group that stays between two maps when its holder dies in
// any phase of a switch.
func TestGroupHolderKilled(t *testing.T) { runScript(t, "group-holder-killed") }

// Guards against a paused holder whose late commands take effect on backend
// servers that ignore tokens.
func TestGroupHolderFrozen(t *testing.T) { runScript(t, "group-holder-frozen") }

// Guards against a group that stays between two maps when members die in any
// phase of a switch, or restart while the log is down.
func TestGroupMember(t *testing.T) { runScript(t, "group-member") }

// Guards against a restarted sidecar that obeys a holder before it has read
// the current token.
func TestGroupRestartToken(t *testing.T) { runScript(t, "group-restart-token") }

// Guards against orders of an earlier holder that take effect after those of a
// later one.
func TestGroupLate(t *testing.T) { runScript(t, "group-late") }

// Guards against a group that steps on two maps, or stops, because orders or
// votes are lost or late.
func TestGroupLost(t *testing.T) { runScript(t, "group-lost") }

// Guards against a switch without agreement in an outage of the log, and two
// holders after it.
func TestGroupLog(t *testing.T) { runScript(t, "group-log") }

// Guards against a switch that a stalled rank leaves half done.
func TestGroupStalled(t *testing.T) { runScript(t, "group-stalled") }

// Guards against a switch that ends before the weight store can have served
// its moves, or with a mixed step while the store is slow.
func TestGroupStore(t *testing.T) { runScript(t, "group-store") }

// Guards against a group that waits forever, or steps on two maps, when the
// weight store goes down while weights are staged.
func TestGroupStoreOutage(t *testing.T) { runScript(t, "group-store-outage") }
