package entry

import (
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/daemons/entry/servers"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// dispatcher runs requests on sidecars. It is safe for concurrent use.
type dispatcher struct {
	servers  *servers.Servers
	prober   *servers.Prober
	table    tableSource
	clients  *clients
	receiver stream.ReceiverConfig
	retries  *retries
	copies   *copies
}

// noteRefusal stops retries after the queue refused work for lack of room or
// time.
func (d *dispatcher) noteRefusal(r *request, err error) {
	if errkind.Is(err, errkind.QueueFull) || errkind.Is(err, errkind.DeadlineUnreachable) {
		d.retries.overloaded(r.call.GetService())
	}
}
