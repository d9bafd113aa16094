package ring_test

import (
	"testing"

	"github.com/filbertmux/filbertmux/internal/bubble"
)

// TestMain runs the tests with GOMAXPROCS=1, see package bubble.
func TestMain(m *testing.M) { bubble.Main(m) }
