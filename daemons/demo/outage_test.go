package demo

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/daemons/entry"
	"github.com/filbertmux/filbertmux/measure/standin"
)

// Guards against an outage of the log that stops lookups and model calls, that
// lets a booking run without a claim, or that keeps a new entry without table.
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
	require.NoError(t, d.startEntry(ctx, len(d.entries), failureDomains[0]))
	require.NoError(t, c.awaitTable(ctx, offset), "the new entry takes the table from a peer")
	late := d.entries[len(d.entries)-1]
	completion := c.completion(ctx, late)
	require.True(t, completion.Correct, completion.Detail)
	lookup := c.lookup(ctx, late)
	require.True(t, lookup.Correct, lookup.Detail)

	key := uuid.Must(uuid.NewV7()).String()
	a, err := c.send(ctx, http.MethodPost, late+"/"+plainService+"/orders", key, "order")
	require.NoError(t, err)
	var refusal entry.ErrorResponse
	require.NoError(t, json.Unmarshal(a.body, &refusal))
	require.Equal(t, "outcome_unknown", refusal.Error.Kind)
	require.Equal(t, "unknown", refusal.Error.Execution)
	require.Contains(t, refusal.Error.Message, "this request did not run")
	require.NotZero(t, a.retryAfter)
	require.Zero(t, d.runs(key))

	d.platform.SetFaults(standin.Faults{})
	booking := c.booking(ctx, "booking", late, key, "order")
	require.True(t, booking.Correct, booking.Detail)
	require.Equal(t, 1, d.runs(key))
}
