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

// Guards against a log outage that fails lookups and model calls, lets a
// non-idempotent request run without a claim, or prevents a new entry from getting
// the table.
func TestLogOutage(t *testing.T) {
	ctx := context.Background()
	d, err := deploy(ctx, io.Discard)
	defer func() { require.NoError(t, d.stop(ctx)) }()
	require.NoError(t, err)
	offset, err := publish(ctx, d.platform)
	require.NoError(t, err)
	c := newDemoClient(d)
	require.NoError(t, c.awaitTable(ctx, offset))

	d.platform.SetFaults(standin.Faults{LogDown: true})
	require.NoError(t, d.startEntry(ctx, len(d.entryURLs), failureDomains[0]))
	require.NoError(t, c.awaitTable(ctx, offset), "the new entry did not get the table from a peer")
	newEntry := d.entryURLs[len(d.entryURLs)-1]
	completion := c.completion(ctx, newEntry)
	require.True(t, completion.Correct, completion.Detail)
	lookup := c.lookup(ctx, newEntry)
	require.True(t, lookup.Correct, lookup.Detail)

	key := uuid.Must(uuid.NewV7()).String()
	resp, err := c.send(ctx, http.MethodPost, newEntry+"/"+plainService+"/orders", key, "order")
	require.NoError(t, err)
	var refusal entry.ErrorResponse
	require.NoError(t, json.Unmarshal(resp.body, &refusal))
	require.Equal(t, "outcome_unknown", refusal.Error.Kind)
	require.Equal(t, "unknown", refusal.Error.Execution)
	require.Contains(t, refusal.Error.Message, "this request did not run")
	require.NotZero(t, resp.retryAfter)
	require.Zero(t, d.runCount(key))

	d.platform.SetFaults(standin.Faults{})
	booking := c.createOrder(ctx, "booking", newEntry, key, "order")
	require.True(t, booking.Correct, booking.Detail)
	require.Equal(t, 1, d.runCount(key))
}
