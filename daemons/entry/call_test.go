package entry

import (
	"encoding/json"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/table"
)

// Guards against an invalid key that gets a retryable error because no backend
// server is available: its caller would retry a request that can never succeed.
func TestCheckIdempotencyKey(t *testing.T) {
	nonIdempotent := table.Route{}
	require.True(t, errkind.Is(checkIdempotencyKey(nonIdempotent, ""), errkind.MissingIdempotencyKey))
	require.True(t, errkind.Is(checkIdempotencyKey(nonIdempotent, "4711"), errkind.InvalidIdempotencyKey))
	require.True(t, errkind.Is(checkIdempotencyKey(nonIdempotent, uuid.NewString()), errkind.InvalidIdempotencyKey))
	key, err := uuid.NewV7()
	require.NoError(t, err)
	require.NoError(t, checkIdempotencyKey(nonIdempotent, key.String()))
	require.NoError(t, checkIdempotencyKey(table.Route{Idempotent: true}, "4711"))
}

// Guards against taking the last message, which is the request's own, for a shared
// part, and against parts that differ between entries.
func TestSharedParts(t *testing.T) {
	parse := func(body string) []string {
		var completion completionRequest
		require.NoError(t, json.Unmarshal([]byte(body), &completion))
		return completion.sharedParts()
	}
	first := parse(`{"messages":[{"content":"system"},{"content":"document"},{"content":"question"}]}`)
	second := parse(`{"messages":[{"content":"other"},{"content":"document"},{"content":"another question"}]}`)
	require.Len(t, first, 2)
	require.Equal(t, first[1], second[1])
	require.NotEqual(t, first[0], second[0])
	require.Empty(t, parse(`{"messages":[{"content":"question"}]}`))
}
