package scenarios

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/filbertmux/filbertmux/daemons/cli"
)

// maxScripts is the number of scripts that run concurrently. Each of them has up
// to a dozen processes.
const maxScripts = 4

var scriptSlots = make(chan struct{}, maxScripts)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"filbertmux": func() {
			os.Exit(cli.Main(context.Background(), os.Args[1:], cli.StandardStreams()))
		},
	})
}

type environmentKey struct{}

func setup(env *testscript.Env) error {
	e := newEnvironment(env.T().(testing.TB), env.WorkDir)
	e.checkAtShutdown = e.checkGroup
	env.Values[environmentKey{}] = e
	env.Setenv("long", strings.Repeat("x", 300))
	env.Setenv("GORACE", raceDetectorOptions)
	env.Defer(e.shutdown)
	return nil
}

func environmentOf(ts *testscript.TestScript) *environment {
	return ts.Value(environmentKey{}).(*environment)
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

// scriptT runs a script within its top-level test. A parallel subtest would
// deadlock with tests that wait for the slot in scriptSlots that it holds.
type scriptT struct{ *testing.T }

// Parallel implements testscript.T.
func (scriptT) Parallel() {}

// Run implements testscript.T.
func (t scriptT) Run(name string, f func(testscript.T)) {
	t.T.Run(name, func(t *testing.T) { f(scriptT{t}) })
}

// Verbose implements testscript.T.
func (scriptT) Verbose() bool { return testing.Verbose() }

// Guards against a request path that is broken between separate processes.
func TestPath(t *testing.T) { runScript(t, "path") }

// Guards against a daemon that starts with invalid settings, reports only the
// first of them, or exits with the same code as after a crash.
func TestSettings(t *testing.T) { runScript(t, "settings") }

// Guards against an invalid call that is forwarded, or answered without an error
// kind and an execution status.
func TestCalls(t *testing.T) { runScript(t, "calls") }

// Guards against a booking that runs twice, or is answered not_run after it
// ran, when its sidecar is killed before, during or after the run.
func TestBookingKill(t *testing.T) { runScript(t, "booking-kill") }

// Guards against a not_run answer for a key that ran, when the entry can reach no
// sidecar that could read the log.
func TestBookingUnreachable(t *testing.T) { runScript(t, "booking-unreachable") }

// Guards against a second run by a sidecar that was stopped by SIGSTOP while
// another sidecar got its key.
func TestBookingFrozen(t *testing.T) { runScript(t, "booking-frozen") }

// Guards against a run by a sidecar that was stopped by SIGSTOP, and whose claim
// is appended after that of another sidecar.
func TestBookingLate(t *testing.T) { runScript(t, "booking-late") }

// Guards against a second run of a key after a lost answer to an append, after a
// log outage, or when it is sent through two entries at once.
func TestBookingLog(t *testing.T) { runScript(t, "booking-log") }

// Guards against a truncated response that ends as if complete, and against a
// response that is lost with a connection although its sidecar can replay it.
func TestAnswers(t *testing.T) { runScript(t, "answers") }

// Guards against a slow reader whose response is truncated, who delays the
// responses of others, or whose attempt stays open after its entry has died.
func TestSlowReader(t *testing.T) { runScript(t, "answers-slow") }

// Guards against new requests for a leaving sidecar, and against a shutdown that
// truncates a stream.
func TestLeaving(t *testing.T) { runScript(t, "leaving") }

// Guards against lost requests when an entry and sidecars leave together while
// the log is down.
func TestLeavingBoth(t *testing.T) { runScript(t, "leaving-both") }

// Guards against table commands with wrong output or exit codes, on which scripts
// of operators rely.
func TestTableCommands(t *testing.T) { runScript(t, "table-cli") }

// Guards against two accepted changes of one row in a race, a refusal that is not
// reported, and a change that is published twice.
func TestTableRace(t *testing.T) { runScript(t, "table-race") }

// Guards against a process whose table stays behind, or that cannot start, while
// the log is down or unreachable.
func TestTableOutage(t *testing.T) { runScript(t, "table-outage") }

// Guards against a publish --wait that returns too early, waits forever for an
// instance that does not answer, or does not name that instance.
func TestTableWait(t *testing.T) { runScript(t, "table-wait") }

// Guards against a publish --wait that cannot query entries.
func TestTableWaitEntry(t *testing.T) { runScript(t, "table-wait-entry") }

// Guards against a group that uses different maps in one step, or that stops,
// without any fault.
func TestGroupSwitch(t *testing.T) { runScript(t, "group-switch") }

// Guards against a group that never completes or undoes a switch because its
// lease holder dies in any phase of it.
func TestGroupHolderKilled(t *testing.T) { runScript(t, "group-holder-killed") }

// Guards against late commands of a holder that was stopped by SIGSTOP, which
// would take effect on backend servers that ignore fencing tokens.
func TestGroupHolderFrozen(t *testing.T) { runScript(t, "group-holder-frozen") }

// Guards against a group that never completes or undoes a switch because members
// die in any phase of it, or restart while the log is down.
func TestGroupMember(t *testing.T) { runScript(t, "group-member") }

// Guards against a restarted sidecar that executes orders of a holder before it
// has read the current fencing token.
func TestGroupRestartToken(t *testing.T) { runScript(t, "group-restart-token") }

// Guards against delayed orders of an earlier holder that take effect after those
// of a later one.
func TestGroupLate(t *testing.T) { runScript(t, "group-late") }

// Guards against a group that uses two maps in one step, or stops, because orders
// or votes are lost or delayed.
func TestGroupLost(t *testing.T) { runScript(t, "group-lost") }

// Guards against a switch that members have not agreed on during a log outage,
// and against two holders after it.
func TestGroupLog(t *testing.T) { runScript(t, "group-log") }

// Guards against a switch that is never completed or undone because a rank
// stalls.
func TestGroupStalled(t *testing.T) { runScript(t, "group-stalled") }

// Guards against a switch that ends before the weight store can have served all
// its moves, and against a step with mixed maps while the store is slow.
func TestGroupStore(t *testing.T) { runScript(t, "group-store") }

// Guards against a group that waits forever, or uses two maps in one step, when
// the weight store goes down while weights are staged.
func TestGroupStoreOutage(t *testing.T) { runScript(t, "group-store-outage") }
