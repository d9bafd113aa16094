package process

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against reading the wrong fields of the files in /proc.
func TestReadOwnProcess(t *testing.T) {
	u, err := readUsage(os.Getpid())
	require.NoError(t, err)
	require.Greater(t, u.residentBytes, int64(1<<20))
	require.Positive(t, u.readBytes)
	_, err = readUsage(-1)
	require.Error(t, err)
}
