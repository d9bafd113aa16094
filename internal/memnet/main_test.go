package memnet_test

import (
	"testing"

	"github.com/filbertmux/filbertmux/internal/bubble"
)

// TestMain runs the tests with the processor limit that synctest needs.
func TestMain(m *testing.M) { bubble.Main(m) }
