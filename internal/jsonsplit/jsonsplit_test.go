package jsonsplit_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertmux/filbertmux/internal/jsonsplit"
)

func split(data string) (elements []string) {
	for e := range jsonsplit.Elements([]byte(data)) {
		elements = append(elements, strings.TrimSpace(string(e)))
	}
	return elements
}

// Guards against elements that end within strings or nested values, and against values that
// have none.
func TestElements(t *testing.T) {
	require.Equal(t, []string{`1`, `{"a":[2,3]}`, `"],\""`, `[]`}, split(` [ 1, {"a":[2,3]} ,"],\"", [] ] `))
	require.Equal(t, []string{`"a" : {"b":","}`, `"c":null`}, split(`{"a" : {"b":","},"c":null}`))
	for _, none := range []string{``, `[]`, ` { } `, `"[1,2]"`, `null`, `12`} {
		require.Empty(t, split(none), none)
	}
	require.True(t, jsonsplit.HasMore([]byte(`[1,2,3]`), 2))
	require.False(t, jsonsplit.HasMore([]byte(`[1,2,3]`), 3))
}

// Guards against elements that differ from those of encoding/json.
func TestElementsAreThoseOfJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOf(rapid.OneOf(
			rapid.Map(rapid.String(), func(s string) any { return s }),
			rapid.Map(rapid.SliceOf(rapid.String()), func(s []string) any { return s }),
			rapid.Map(rapid.MapOf(rapid.String(), rapid.Int()), func(m map[string]int) any { return m }),
		)).Draw(t, "values")
		data, err := json.MarshalIndent(values, " ", "\t")
		require.NoError(t, err)
		var want []json.RawMessage
		require.NoError(t, json.Unmarshal(data, &want))
		got := split(string(data))
		require.Len(t, got, len(want))
		for i := range want {
			require.Equal(t, string(want[i]), got[i])
		}
	})
}
