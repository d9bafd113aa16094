package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/config/fleet"
)

// Guards against requests that only one of two lists of regions binds, and against lists
// without a common region that bind nothing.
func TestAllowedRegions(t *testing.T) {
	require.Nil(t, fleet.AllowedRegions(nil, nil))
	require.Equal(t, []string{"a"}, fleet.AllowedRegions([]string{"a"}, nil))
	require.Equal(t, []string{"b"}, fleet.AllowedRegions(nil, []string{"b"}))
	require.Equal(t, []string{"b"}, fleet.AllowedRegions([]string{"a", "b"}, []string{"b", "c"}))
	none := fleet.AllowedRegions([]string{"a"}, []string{"c"})
	require.NotNil(t, none)
	require.Empty(t, none)
}
