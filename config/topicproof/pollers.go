package topicproof

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// minPollers is the least number of gateways that poll. The loss of one of them is
	// noticed by a third of the requests only, which go to the next one after AnswerTimeout.
	minPollers = 3
	// gatewaysPerPoller bounds the requests to one poller: 11 gateways each AskInterval are
	// 37 requests a second, 3.6 KB/s in both directions with the headers of UDP and IP.
	gatewaysPerPoller = 12
	// maxResponders is the number of pollers that a gateway asks in turn.
	maxResponders = 3
	// spareResponders is the number of other gateways that a poller asks as well, while it
	// can't read the store. The store may turn all pollers away; the others poll then.
	spareResponders = 2
)

// Pollers says which part a gateway has.
type Pollers struct {
	// Poller means that the gateway polls the store.
	Poller bool
	// Asked means that there are gateways that don't poll.
	Asked bool
	// Responders are the gateways that the gateway asks in turn.
	Responders []string
}

// Choose returns the part of the gateway at address self, given the addresses of the other
// live gateways. Rendezvous hashing chooses the pollers without messages: gateways that agree
// who is alive agree on the pollers, and the loss of one makes the next one a poller. The
// others are dealt to the pollers one after the other, so that all are asked equally often.
func Choose(self string, live []string) Pollers {
	order := append([]string{self}, live...)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxh3.HashString(b), xxh3.HashString(a)), cmp.Compare(a, b))
	})
	order = slices.Compact(order)
	count := pollerCount(len(order))
	rank := slices.Index(order, self)
	p := Pollers{Poller: rank < count, Asked: len(order) > count}
	for i := range min(count, maxResponders+1) {
		if responder := order[(rank+i)%count]; responder != self && len(p.Responders) < maxResponders {
			p.Responders = append(p.Responders, responder)
		}
	}
	if p.Poller {
		p.Responders = append(p.Responders, order[count:min(count+spareResponders, len(order))]...)
	}
	return p
}

// pollerCount returns how many of n gateways poll.
func pollerCount(n int) int {
	return min(n, max(minPollers, (n+gatewaysPerPoller-1)/gatewaysPerPoller))
}
