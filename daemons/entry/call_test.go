package entry

import (
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
