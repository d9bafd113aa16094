package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/config/fleet"
)

// Guards against a request that uses an older configuration than its freshness says, and so
// a key that was taken away, while the index of many organisations is being built.
func TestConfigIsAsNewAsItsFreshness(t *testing.T) {
	const versions = 2000
	base := time.Now()
	state := NewClusterState()
	organisations := make([]fleet.Organisation, 1100)
	for i := range organisations {
		organisations[i] = fleet.Organisation{Name: fmt.Sprint(i), Keys: []string{fmt.Sprint("key", i)}}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for v := range versions {
			state.InstallConfig(&fleet.Config{Version: int64(v), Organisations: organisations})
			at := base.Add(time.Duration(v) * time.Second)
			state.ConfirmConfig(at, at)
		}
	}()
	now := base.Add(versions * time.Second)
	for reads := 0; ; reads++ {
		index, age, _ := state.Config(now)
		if confirmed := int64(now.Add(-age).Sub(base) / time.Second); index != nil && confirmed >= 0 {
			require.GreaterOrEqual(t, index.Config.Version, confirmed)
		}
		select {
		case <-done:
			require.Positive(t, reads)
			return
		default:
		}
	}
}
