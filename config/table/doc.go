// Package table holds the operators' table: typed rows, change sets, the
// deterministic fold of the log stream, snapshots and the CSV codec.
//
// The package does no I/O, starts no goroutine and reads no clock. The verdict
// on a change set is a function of the records before it, so all readers agree
// and an accepted change cannot revert. A Fold belongs to one goroutine; a View
// is immutable and may be shared.
package table
