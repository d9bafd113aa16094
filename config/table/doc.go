// Package table implements the configuration table that operators maintain:
// typed rows, change sets, the deterministic state machine that applies the
// records of the log, snapshots and the CSV format.
//
// The package does no I/O except to read CSV files from an fs.FS, starts no
// goroutines and reads no clock. The verdict on a change set depends only on the
// records before it, so all readers agree and an accepted change cannot be
// reverted later. A State must be used by one goroutine at a time; a View is
// immutable and may be shared.
package table
