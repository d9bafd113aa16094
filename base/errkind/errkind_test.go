package errkind_test

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// Guards against a kind that was added without an answer, or two kinds that
// can't be told apart on the wire.
func TestTableIsComplete(t *testing.T) {
	names := make(map[string]errkind.Kind)
	for _, k := range errkind.Kinds() {
		a := k.Attributes()
		require.NotEmpty(t, a.Name, "kind %d", k)
		require.NotContains(t, names, a.Name)
		names[a.Name] = k
		require.GreaterOrEqual(t, a.HTTPStatus, 400, a.Name)
		require.NotZero(t, a.ConnectCode, a.Name)
		require.NotZero(t, a.ExitCode, a.Name)
		parsed, ok := errkind.Parse(a.Name)
		require.True(t, ok)
		require.Equal(t, k, parsed)
	}
}

// Guards against an unclassified error being reported as proof that nothing ran.
func TestUnclassifiedErrorIsUnknown(t *testing.T) {
	e := errkind.Of(errors.New("connection reset"))
	require.Equal(t, errkind.Internal, e.Kind)
	require.Equal(t, errkind.Unknown, e.Execution)
	require.Nil(t, errkind.Of(nil))
	wrapped := errors.Wrap(errkind.New(errkind.Leaving, "sidecar %s", "a"), "call")
	require.True(t, errkind.Is(wrapped, errkind.Leaving))
	require.Equal(t, errkind.NotRun, errkind.Of(wrapped).Execution)
}
