package groupcontrol

import (
	"context"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/rankgroup/mapswitch"
)

// WithoutTokenCheck returns o for a sidecar that stages every plan on its ranks,
// even one with a stale token.
func (o Options) WithoutTokenCheck() Options {
	o.testHook = func(l *eventLoop) {
		l.acceptCommand = func(from mapswitch.MemberID, token infra.Offset, m mapswitch.Message) bool {
			if p, ok := m.(mapswitch.Prepare); ok && token < l.newestToken() {
				for _, r := range l.controller.opts.Ranks {
					stage := mapswitch.StageRank{Token: token, Plan: p.Plan}
					out := mapswitch.Output{To: mapswitch.ToRank, Rank: r, Message: stage}
					_ = l.controller.commands.Push(context.Background(), out)
				}
				return false
			}
			l.recordSender(token, from)
			return true
		}
	}
	return o
}

func (l *eventLoop) newestToken() infra.Offset {
	var newest infra.Offset
	for token := range l.senderByToken {
		newest = max(newest, token)
	}
	return newest
}

// WithoutTokenRead returns o for a sidecar that accepts commands before it has
// read the current token.
func (o Options) WithoutTokenRead() Options {
	o.testHook = func(l *eventLoop) {
		l.readToken = func() (infra.Offset, bool) { return 0, true }
		l.acceptCommand = func(mapswitch.MemberID, infra.Offset, mapswitch.Message) bool { return true }
	}
	return o
}
