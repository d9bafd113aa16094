//go:build race

package scenarios

// raceDetector reports whether the program under test contains the race detector, which
// multiplies the memory of a process.
const raceDetector = true
