package standin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/measure/standin"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

func newPlatform(t *testing.T, cfg standin.PlatformConfig) (*standin.Platform, *infra.HTTPClient, *fakeClock) {
	t.Helper()
	clock := &fakeClock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	cfg.Now = clock.Now
	p := standin.NewPlatform(cfg)
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	client, err := infra.NewHTTPClient(server.URL, server.Client())
	require.NoError(t, err)
	return p, client, clock
}

// Guards against a lost response that undoes the append: the record must be
// readable although Append returned an error.
func TestLostAppendResponseTakesEffect(t *testing.T) {
	ctx := context.Background()
	p, client, _ := newPlatform(t, standin.PlatformConfig{})
	p.SetFaults(standin.Faults{LoseAppendResponses: 1})
	_, err := client.Append(ctx, "s", []byte("a"))
	require.True(t, errkind.Is(err, errkind.PlatformUnavailable), "%v", err)
	batch, err := client.Read(ctx, "s", 0, 10, 0)
	require.NoError(t, err)
	require.Len(t, batch.Records, 1)
	require.Equal(t, infra.Offset(1), batch.Records[0].Offset)
}

// Guards against a read that silently skips trimmed records.
func TestReadOfTrimmedRecordsFails(t *testing.T) {
	ctx := context.Background()
	_, client, clock := newPlatform(t, standin.PlatformConfig{Retention: time.Minute})
	_, err := client.Append(ctx, "s", []byte("a"))
	require.NoError(t, err)
	clock.now = clock.now.Add(2 * time.Minute)
	_, err = client.Append(ctx, "s", []byte("b"))
	require.NoError(t, err)
	_, err = client.Read(ctx, "s", 0, 10, 0)
	require.True(t, errkind.Is(err, errkind.RecordsTrimmed), "%v", err)
	batch, err := client.Read(ctx, "s", 1, 10, 0)
	require.NoError(t, err)
	require.Equal(t, "b", string(batch.Records[0].Data))
}

// Guards against a rate-limited append that is stored or counted.
func TestRateLimitedAppendHasNoEffect(t *testing.T) {
	ctx := context.Background()
	p, client, _ := newPlatform(t, standin.PlatformConfig{AppendsPerSecond: 1})
	_, err := client.Append(ctx, "s", []byte("a"))
	require.NoError(t, err)
	_, err = client.Append(ctx, "s", []byte("b"))
	require.True(t, errkind.Is(err, errkind.PlatformRateLimited), "%v", err)
	require.EqualValues(t, 1, p.AppendCount())
}

// Guards against a stand-in list without lag: the real instance list lags behind
// changes.
func TestInstanceListLags(t *testing.T) {
	ctx := context.Background()
	p, client, clock := newPlatform(t, standin.PlatformConfig{ListLag: 3 * time.Second})
	p.SetInstances([]infra.Instance{{ID: "a", Address: "a:1", State: infra.StateLive}})
	got, err := client.Instances(ctx)
	require.NoError(t, err)
	require.Empty(t, got)
	clock.now = clock.now.Add(3 * time.Second)
	got, err = client.Instances(ctx)
	require.NoError(t, err)
	require.Len(t, got, 1)
}

// countingTransport counts the bytes of the response bodies by Content-Length.
type countingTransport struct{ bytes int64 }

func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		c.bytes += max(0, resp.ContentLength)
	}
	return resp, err
}

// Guards against sending the full instance list on each read, which at 600
// replicas exceeds the control traffic budget of 10 KB/s, and against a stale
// list after a change.
func TestUnchangedInstanceListIsNotResent(t *testing.T) {
	ctx := context.Background()
	p := standin.NewPlatform(standin.PlatformConfig{})
	server := httptest.NewServer(p)
	defer server.Close()
	transport := &countingTransport{}
	client, err := infra.NewHTTPClient(server.URL, &http.Client{Transport: transport})
	require.NoError(t, err)
	p.SetInstances([]infra.Instance{{ID: "a", Address: "a:1", State: infra.StateLive}})
	first, err := client.Instances(ctx)
	require.NoError(t, err)
	sent := transport.bytes
	require.Positive(t, sent)
	second, err := client.Instances(ctx)
	require.NoError(t, err)
	require.Equal(t, first, second)
	require.Equal(t, sent, transport.bytes)
	p.SetInstances([]infra.Instance{{ID: "a", Address: "a:1", State: infra.StateLeaving}})
	third, err := client.Instances(ctx)
	require.NoError(t, err)
	require.Equal(t, infra.StateLeaving, third[0].State)
}
