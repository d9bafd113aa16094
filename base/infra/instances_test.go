package infra_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/infra"
)

const validInstance = `{"id":"a","role":"backend","service":"m, [x]\"}","address":"a.example:8082","state":"live"}`

// Guards against one invalid entry of the instance list that keeps a process from following
// all others.
func TestInvalidInstances(t *testing.T) {
	const depth = 100_000
	nested := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	for name, entry := range map[string]string{
		"nested":           `{"id":"x","address":"b:1","other":` + nested + `}`,
		"nested objects":   strings.Repeat(`{"id":`, depth) + "1" + strings.Repeat("}", depth),
		"number too large": `{"id":"x","address":"b:1","ranks":[1e400]}`,
		"wrong type":       `{"id":7,"address":"b:1"}`,
		"port too large":   `{"id":"x","address":"b:65536"}`,
		"port zero":        `{"id":"x","address":"b:0"}`,
		"negative port":    `{"id":"x","address":"b:-1"}`,
		"named port":       `{"id":"x","address":"b:http"}`,
		"no port":          `{"id":"x","address":"b"}`,
		"no address":       `{"id":"x"}`,
		"no host":          `{"id":"x","address":":80"}`,
		"no id":            `{"address":"b:1"}`,
		"no object":        `"b:1"`,
		"nothing":          ``,
		"no JSON":          `nothing`,
	} {
		t.Run(name, func(t *testing.T) {
			for _, list := range []string{"[%s,%s]", "[ %[2]s ,%[1]s ]"} {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = fmt.Fprintf(w, list, entry, validInstance)
				}))
				client, err := infra.NewHTTPClient(server.URL, server.Client())
				require.NoError(t, err)
				valid, invalid, err := infra.ValidInstances(t.Context(), client)
				server.Close()
				require.NoError(t, err)
				require.NotNil(t, invalid)
				require.Equal(t, 1, invalid.Count)
				require.Len(t, valid, 1)
				require.Equal(t, `m, [x]"}`, valid[0].Service)
			}
		})
	}
}

// Guards against a list that is cut off and counts as a shorter one.
func TestIncompleteInstanceList(t *testing.T) {
	for _, list := range []string{``, `{}`, `[`, `[` + validInstance, `[` + validInstance + `,{"id":"b"]`, `["a]`, `[1],[2]`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, list) }))
		client, err := infra.NewHTTPClient(server.URL, server.Client())
		require.NoError(t, err)
		_, _, err = infra.ValidInstances(t.Context(), client)
		server.Close()
		require.Error(t, err, list)
	}
	for _, list := range []string{`[]`, ` [ ] `, `null`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, list) }))
		client, err := infra.NewHTTPClient(server.URL, server.Client())
		require.NoError(t, err)
		valid, invalid, err := infra.ValidInstances(t.Context(), client)
		server.Close()
		require.NoError(t, err, list)
		require.Nil(t, invalid)
		require.Empty(t, valid)
	}
}
