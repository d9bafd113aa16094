// Package scenarios tests filbertmux as separate processes. Each script in
// testdata/script is one top-level test. The test binary is also the
// filbertmux program, so nothing is built or installed for a run.
//
// The commands that the scripts use beside those of testscript are described
// in docs/scenarios.md. A command that waits for a condition gives up after
// 30 s; no command sleeps for a fixed time. Processes are killed by their own
// ids at the end of a script, also after a failure, and their last log lines
// are then printed.
//
// At the end of each script the package checks that no key ran twice, that no
// key had run when a call was answered not_run, that no table offset
// decreased, and that no process reported a data race, a panic or an invariant
// violation.
package scenarios
