package chart_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/chart"
)

var vocabulary = chart.Vocabulary{Guards: []string{"ready"}, Actions: []string{"go", "stop"}}

const valid = `
name: sample
initial: idle
events: [start, finish]
states:
  idle:
    on:
      start:
        - {to: busy, guard: ready, action: go}
        - {to: idle, action: stop}
    ignore: [finish]
  busy:
    on: {finish: [{to: ended}]}
    ignore: [start]
  ended: {final: true}
`

// Guards against an interpreter that ignores guards or loses actions.
func TestFireTakesFirstTransitionWhoseGuardHolds(t *testing.T) {
	c, err := chart.Parse([]byte(valid), vocabulary)
	require.NoError(t, err)
	m := c.NewMachine()
	action, err := m.Fire("start", chart.Guards{"ready": false})
	require.NoError(t, err)
	require.Equal(t, "stop", action)
	require.Equal(t, "idle", m.State())
	action, err = m.Fire("finish", nil)
	require.NoError(t, err)
	require.Empty(t, action)
	action, err = m.Fire("start", chart.Guards{"ready": true})
	require.NoError(t, err)
	require.Equal(t, "go", action)
	_, err = m.Fire("finish", nil)
	require.NoError(t, err)
	require.True(t, m.Final())
	_, err = m.Fire("start", nil)
	require.Error(t, err)
	require.Equal(t, "ended", m.State())
}

// Guards against a chart with a fault that is found only when a request meets it.
func TestParseReportsEveryFault(t *testing.T) {
	const broken = `
name: broken
initial: a
events: [x, y]
states:
  a:
    on:
      x: [{to: nowhere, guard: no_guard, action: no_action}]
  b:
    ignore: [x, y]
`
	_, err := chart.Parse([]byte(broken), vocabulary)
	require.Error(t, err)
	for _, want := range []string{
		"event y must be either handled or ignored",
		`unknown state "nowhere"`, "unknown guard no_guard", "unknown action no_action",
		"state b is unreachable",
	} {
		require.ErrorContains(t, err, want)
	}
}
