package tablesync

import (
	"testing"

	"github.com/filbertmux/filbertmux/internal/bubble"
)

// TestMain prepares the package for synctest.
func TestMain(m *testing.M) { bubble.Main(m) }
