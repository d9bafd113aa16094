//go:build !race

package scenarios

const raceDetector = false
