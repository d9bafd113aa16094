package entry

import (
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/daemons/entry/servers"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// dispatcher holds the state that all requests share to run on sidecars. It is
// safe for concurrent use.
type dispatcher struct {
	servers    *servers.Servers
	prober     *servers.Prober
	table      tableSource
	clients    *clients
	receiver   stream.ReceiverConfig
	retries    *retryBudgets
	duplicates *duplicateTracker
}

// recordQueueRefusal records an overload of the service, which stops retries, if
// the queue refused the request because it is full or the deadline can't be met.
func (d *dispatcher) recordQueueRefusal(r *request, err error) {
	if errkind.Is(err, errkind.QueueFull) || errkind.Is(err, errkind.DeadlineUnreachable) {
		d.retries.recordOverload(r.call.GetService())
	}
}
