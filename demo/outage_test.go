package demo

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/entry"
	"github.com/filbertmux/filbertmux/standin"
)

// Guards against an outage of the log that stops lookups and model calls, or
// that lets a booking run without a claim.
func TestLogOutage(t *testing.T) {
	ctx := context.Background()
	d, err := deploy(ctx, io.Discard)
	defer func() { require.NoError(t, d.stop(ctx)) }()
	require.NoError(t, err)
	offset, err := publish(ctx, d.platform)
	require.NoError(t, err)
	c := newCaller(d)
	require.NoError(t, c.awaitTable(ctx, offset))

	d.platform.SetFaults(standin.Faults{LogDown: true})
	last := d.entries[len(d.entries)-1]
	completion := c.completion(ctx, last)
	require.True(t, completion.Whole, completion.Detail)
	lookup := c.lookup(ctx, last)
	require.True(t, lookup.Whole, lookup.Detail)

	key := uuid.Must(uuid.NewV7()).String()
	a, err := c.send(ctx, http.MethodPost, last+"/"+plainService+"/orders", key, "order")
	require.NoError(t, err)
	var refusal entry.Refusal
	require.NoError(t, json.Unmarshal(a.body, &refusal))
	require.Equal(t, "log_unavailable", refusal.Error.Kind)
	require.Equal(t, "not_run", refusal.Error.Execution)
	require.NotZero(t, a.retryAfter)
	require.Zero(t, d.runs(key))

	d.platform.SetFaults(standin.Faults{})
	booking := c.booking(ctx, "booking", last, key, "order")
	require.True(t, booking.Whole, booking.Detail)
	require.Equal(t, 1, d.runs(key))
}
