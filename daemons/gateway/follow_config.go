package gateway

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/config/topicproof"
	"github.com/filbertmux/filbertmux/platform"
)

const (
	// configPollTimeout is the duration of a long poll for a new configuration.
	// The configuration was confirmed as the newest one at most two polls ago, so
	// a gateway that loses the store serves requests with keys for three more
	// seconds of the usual revocation bound of 5 s.
	configPollTimeout = 800 * time.Millisecond
)

// configFollower keeps the configuration and the evacuations up to date.
type configFollower struct {
	topic *topicFollower
	state *ClusterState
	log   zerolog.Logger
	// applyEvacuations applies the evacuations of each read of the topic, which holds them
	// as well.
	applyEvacuations func(topicUpdate)
	// proofs says when to read. It is nil if the gateways don't share their reads; then the
	// store is polled all the time.
	proofs *proofExchange
	digest topicproof.Digest
}

// FollowConfig keeps the configuration in state up to date until ctx ends. It calls
// applyEvacuations with each read of the topic, which holds the evacuations as well.
func FollowConfig(
	ctx context.Context, store *platform.StoreClient, state *ClusterState, log zerolog.Logger,
	applyEvacuations func(topicUpdate),
) error {
	return followConfig(ctx, store, state, log, applyEvacuations, nil)
}

// followConfig is FollowConfig by the proofs of other gateways, if proofs isn't nil.
func followConfig(
	ctx context.Context, store *platform.StoreClient, state *ClusterState, log zerolog.Logger,
	applyEvacuations func(topicUpdate), proofs *proofExchange,
) error {
	f := &configFollower{
		topic: newTopicFollower(store, platform.ConfigTopic, log), state: state, log: log,
		applyEvacuations: applyEvacuations, proofs: proofs,
	}
	for f.waitUntilNeeded(ctx) {
		f.read(ctx)
	}
	return nil
}

// read performs one read and applies it. After an error it waits for the backoff.
func (f *configFollower) read(ctx context.Context) {
	u, err := f.topic.read(ctx, f.pollTimeout())
	if err != nil {
		f.recordFailure()
		clock.Sleep(ctx, f.topic.backoff())
		return
	}
	// No request is served before the first configuration is installed, so none is sent
	// to a failure domain that was evacuated before.
	f.applyEvacuations(u)
	ok := true
	for _, r := range u.records {
		ok = installConfig(r, f.state, u, f.log) && ok
	}
	// If a new configuration can't be decoded, or if records are missing, the installed one
	// must not be confirmed as the newest one.
	if ok && u.complete {
		f.state.ConfirmConfig(u.sent, u.received)
	}
	f.recordRead(u)
	if f.state.Index() == nil {
		clock.Sleep(ctx, minBackoff)
	}
}

// waitUntilNeeded waits until the store has to be read. It returns false if ctx has ended.
func (f *configFollower) waitUntilNeeded(ctx context.Context) bool {
	if f.proofs == nil || !f.topic.rereadAt.IsZero() {
		return ctx.Err() == nil
	}
	reason, ok := f.proofs.waitUntilNeeded(ctx)
	if reason == topicproof.OtherHistory {
		f.topic.snapshot = true
	}
	return ok
}

func (f *configFollower) pollTimeout() time.Duration {
	if f.proofs == nil {
		return configPollTimeout
	}
	return f.proofs.pollTimeout()
}

func (f *configFollower) recordFailure() {
	if f.proofs != nil && f.topic.failures > 0 {
		f.proofs.recordFailure()
	}
}

// recordRead tells the proofs what was read, after it was installed.
func (f *configFollower) recordRead(u topicUpdate) {
	if f.proofs == nil {
		return
	}
	if u.snapshot {
		f.digest = topicproof.Digest{}
	}
	for _, r := range u.records {
		if r.Err == nil {
			f.digest.Set(r.Key, r.Value)
		}
	}
	f.proofs.recordRead(topicproof.Read{
		Next: u.next, Digest: f.digest.Sum(), Complete: u.complete, Snapshot: u.snapshot, Sent: u.sent, Received: u.received,
	})
}

func installConfig(r platform.KeyedRecord, state *ClusterState, u topicUpdate, log zerolog.Logger) bool {
	if r.Err != nil {
		log.Error().Err(r.Err).Str("key", r.Key).Msg("record of the configuration can't be read; ignoring it")
		return false
	}
	if r.Key != platform.ConfigKey || len(r.Value) == 0 {
		return true
	}
	c, err := platform.DecodeConfig(r.Value)
	if err != nil {
		log.Error().Err(err).Int64("offset", r.Offset).Msg("configuration can't be decoded or served; ignoring it")
		return false
	}
	if state.InstallConfig(c) {
		log.Info().Int64("config_version", c.Version).Int("routes", len(c.Routes)).
			Int("services", len(c.Services)).Int("organisations", len(c.Organisations)).
			Dur("read_ms", u.received.Sub(u.sent)).Msg("configuration in force")
		return true
	}
	if current := state.currentConfig(); c.Version < current.Version {
		log.Warn().Int64("config_version", c.Version).Int64("in_force", current.Version).Int64("offset", r.Offset).
			Msg("configuration with a lower version; ignoring it")
	}
	return true
}
