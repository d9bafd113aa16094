package groupcontrol

import (
	"context"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/rankgroup/mapswitch"
)

// WithoutTokenCheck returns o for a sidecar that passes the weights of every
// plan to its ranks, whatever its token.
func (o Options) WithoutTokenCheck() Options {
	o.adjust = func(k *core) {
		k.admit = func(from mapswitch.MemberID, token infra.Offset, m mapswitch.Message) bool {
			if p, ok := m.(mapswitch.Prepare); ok && token < k.newestHolder() {
				for _, r := range k.c.opts.Ranks {
					stage := mapswitch.StageRank{Token: token, Plan: p.Plan}
					out := mapswitch.Output{To: mapswitch.ToRank, Rank: r, Message: stage}
					_ = k.c.commands.Push(context.Background(), out)
				}
				return false
			}
			k.learnHolder(token, from)
			return true
		}
	}
	return o
}

func (k *core) newestHolder() infra.Offset {
	var newest infra.Offset
	for token := range k.holders {
		newest = max(newest, token)
	}
	return newest
}

// WithoutTokenRead returns o for a sidecar that accepts commands before it has
// read the current token.
func (o Options) WithoutTokenRead() Options {
	o.adjust = func(k *core) {
		k.readToken = func() (infra.Offset, bool) { return 0, true }
		k.admit = func(mapswitch.MemberID, infra.Offset, mapswitch.Message) bool { return true }
	}
	return o
}
