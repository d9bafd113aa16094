package leaselog_test

import (
	"testing"

	"github.com/filbertmux/filbertmux/internal/bubble"
)

// TestMain sets up the package for synctest.
func TestMain(m *testing.M) { bubble.Main(m) }
