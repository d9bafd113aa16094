package process

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against fields of /proc that are read from the wrong place.
func TestReadOwnProcess(t *testing.T) {
	u, err := read(os.Getpid())
	require.NoError(t, err)
	require.Greater(t, u.residentBytes, int64(1<<20))
	require.Positive(t, u.readBytes)
	_, err = read(-1)
	require.Error(t, err)
}
