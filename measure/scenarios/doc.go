// Package scenarios tests filbertmux as separate processes. Each script in
// testdata/script is one top-level test. The test binary is also the
// filbertmux program, so nothing is built or installed for a run.
//
// The commands that the scripts use in addition to those of testscript are
// described in docs/scenarios.md. A command that waits for a condition gives up
// after pollTimeout; no command sleeps for a fixed time. All processes are killed
// by their process ids at the end of a script, and after a failure their last log
// lines are printed.
//
// In each script the package checks that no key ran twice, that no key had run
// when a call was answered not_run, that no table offset decreased, that no rank
// group made a step with mixed maps or ran a late command, and that no process
// reported a data race, a panic or an invariant violation.
//
// The files that are not tests start the processes, inject faults and send calls. Soak
// runs a deployment under random faults for the command filbertmux-bench soak.
package scenarios
