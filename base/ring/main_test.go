package ring_test

import (
	"testing"

	"github.com/filbertmux/filbertmux/internal/bubble"
)

// TestMain runs the tests with the settings that testing/synctest needs.
func TestMain(m *testing.M) { bubble.Main(m) }
