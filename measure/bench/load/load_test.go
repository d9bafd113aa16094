package load

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against counting a truncated or different response as complete.
func TestReadStreamNeedsTheWholeAnswer(t *testing.T) {
	const token = `data: {"choices":[{"delta":{"content":"a0 "}}]}` + "\n\n"
	whole := readStream(strings.NewReader(token+"data: [DONE]\n\n"), time.Now(), "a0 ")
	require.NoError(t, whole.err)
	require.Error(t, readStream(strings.NewReader(token), time.Now(), "a0 ").err)
	require.Error(t, readStream(strings.NewReader(token+"data: [DONE]\n\n"), time.Now(), "a0 a1 ").err)
}

// Guards against sending load to an address other than loopback.
func TestOnlyLoopbackIsAccepted(t *testing.T) {
	require.NoError(t, validateLoopback("http://127.0.0.1:8080"))
	for _, bad := range []string{"http://10.0.0.1:80", "http://example.com", "://"} {
		require.Error(t, validateLoopback(bad), bad)
	}
}
