package entry

import (
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/table"
)

// Guards against a key that no server would take and that is answered as if only
// a server were missing: its caller would send it again.
func TestCheckKey(t *testing.T) {
	booking := table.Route{}
	require.True(t, errkind.Is(checkKey(booking, ""), errkind.MissingIdempotencyKey))
	require.True(t, errkind.Is(checkKey(booking, "4711"), errkind.InvalidIdempotencyKey))
	require.True(t, errkind.Is(checkKey(booking, uuid.NewString()), errkind.InvalidIdempotencyKey))
	key, err := uuid.NewV7()
	require.NoError(t, err)
	require.NoError(t, checkKey(booking, key.String()))
	require.NoError(t, checkKey(table.Route{Idempotent: true}, "4711"))
}
