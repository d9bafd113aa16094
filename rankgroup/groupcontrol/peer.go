package groupcontrol

import (
	"context"
	"slices"

	"connectrpc.com/connect"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/base/ring"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/mapswitch"
)

// peer sends messages to another member.
type peer struct {
	controller *Controller
	id         mapswitch.MemberID
	outbox     *ring.Queue[mapswitch.Message]
}

func newPeer(c *Controller, id mapswitch.MemberID) *peer {
	cfg := ring.Config{Name: "group peer", Capacity: outboxCapacity, Policy: ring.DropOldest}
	return &peer{controller: c, id: id, outbox: ring.New[mapswitch.Message](cfg)}
}

func (p *peer) enqueue(m mapswitch.Message) { _ = p.outbox.Push(context.Background(), m) }

func (p *peer) run(ctx context.Context) error {
	for {
		m, ok := p.outbox.Pop(ctx)
		if !ok {
			return nil
		}
		messages := []*pb.GroupMessage{encode(m)}
		for more, ok := p.outbox.TryPop(); ok; more, ok = p.outbox.TryPop() {
			messages = append(messages, encode(more))
		}
		if err := p.deliver(ctx, messages); err != nil && ctx.Err() == nil {
			p.controller.opts.Log.Debug().Err(err).Int("member", int(p.id)).Msg("sending messages to a member failed")
			clock.Sleep(ctx, p.controller.opts.Timing.RetryDelay)
		}
	}
}

// deliver sends the messages to each address of the member. Messages to a
// replaced process do no harm, because only one process can command the ranks.
func (p *peer) deliver(ctx context.Context, messages []*pb.GroupMessage) error {
	err := error(errkind.New(errkind.NoBackendServer, "no address of the member is known"))
	for _, address := range p.controller.opts.Addresses(p.id) {
		call, cancel := context.WithTimeout(ctx, p.controller.opts.Timing.CallTimeout)
		var resp *connect.Response[pb.DeliverResponse]
		resp, err = p.client(address).Deliver(call, connect.NewRequest(&pb.DeliverRequest{
			Group: p.controller.opts.Group, From: uint32(p.controller.opts.MemberID), To: uint32(p.id),
			TableOffset: uint64(p.controller.opts.Table.Offset()), Messages: messages,
		}))
		cancel()
		if err == nil {
			p.controller.learnTableOffset(resp.Msg.GetTableOffset())
		}
	}
	return err
}

// minCompressBytes is the size from which requests are compressed. Only a plan
// reaches it: it carries a map of about 30 KB at the design size.
const minCompressBytes = 1024

func (p *peer) client(address string) filbertmuxv1connect.GroupServiceClient {
	return filbertmuxv1connect.NewGroupServiceClient(p.controller.opts.PeerClient, "http://"+address,
		connect.WithSendGzip(), connect.WithCompressMinBytes(minCompressBytes))
}

// requestReport asks the member for a report with the counts since the report
// numbered since.
func (p *peer) requestReport(ctx context.Context, since uint64) (*pb.GroupReportResponse, error) {
	err := error(errkind.New(errkind.NoBackendServer, "no address of member %d is known", p.id))
	for _, address := range slices.Backward(p.controller.opts.Addresses(p.id)) {
		call, cancel := context.WithTimeout(ctx, p.controller.opts.Timing.CallTimeout)
		var resp *connect.Response[pb.GroupReportResponse]
		resp, err = p.client(address).Report(call, connect.NewRequest(&pb.GroupReportRequest{
			Group: p.controller.opts.Group, To: uint32(p.id), TableOffset: uint64(p.controller.opts.Table.Offset()), Since: since,
		}))
		cancel()
		if err == nil {
			p.controller.learnTableOffset(resp.Msg.GetTableOffset())
			return resp.Msg, nil
		}
	}
	return nil, err
}

// Deliver implements GroupService.
func (c *Controller) Deliver(_ context.Context, req *connect.Request[pb.DeliverRequest]) (*connect.Response[pb.DeliverResponse], error) {
	if err := c.checkRecipient(req.Msg.GetGroup(), req.Msg.GetTo()); err != nil {
		return nil, err
	}
	if int(req.Msg.GetFrom()) >= c.opts.MemberCount {
		return nil, connect.NewError(connect.CodeInvalidArgument,
			errkind.New(errkind.InvalidRequest, "sender is member %d of a group of %d", req.Msg.GetFrom(), c.opts.MemberCount))
	}
	c.learnTableOffset(req.Msg.GetTableOffset())
	from := mapswitch.MemberID(req.Msg.GetFrom())
	for _, m := range req.Msg.GetMessages() {
		if message := decode(from, m); message != nil {
			c.pushEvent(event{from: from, message: message})
		}
	}
	return connect.NewResponse(&pb.DeliverResponse{TableOffset: uint64(c.opts.Table.Offset())}), nil
}

// Report implements GroupService.
func (c *Controller) Report(ctx context.Context, req *connect.Request[pb.GroupReportRequest]) (*connect.Response[pb.GroupReportResponse], error) {
	if err := c.checkRecipient(req.Msg.GetGroup(), req.Msg.GetTo()); err != nil {
		return nil, err
	}
	c.learnTableOffset(req.Msg.GetTableOffset())
	r, _, err := c.localReport(ctx, req.Msg.GetSince())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(r), nil
}

func (c *Controller) checkRecipient(group string, to uint32) error {
	if group == c.opts.Group && mapswitch.MemberID(to) == c.opts.MemberID {
		return nil
	}
	return connect.NewError(connect.CodeNotFound,
		errkind.New(errkind.InvalidRequest, "this sidecar is not member %d of group %q", to, group))
}

func (c *Controller) learnTableOffset(offset uint64) { c.opts.Table.Learn(infra.Offset(offset)) }

// localReport builds the report of this member from its backend server. It also
// returns the map in force.
func (c *Controller) localReport(ctx context.Context, since uint64) (*pb.GroupReportResponse, *experts.Map, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timing.CallTimeout)
	defer cancel()
	r, err := c.ranks.readReport(ctx)
	if err != nil {
		return nil, nil, err
	}
	out := &pb.GroupReportResponse{
		TableOffset: uint64(c.opts.Table.Offset()), FailureDomain: c.opts.FailureDomain,
		Experts: uint32(r.Experts), SlotsPerRank: uint32(r.SlotsPerRank),
		Epoch: r.Map.Epoch, CountsAgeMs: r.CountsAgeMS, StepTimeUs: r.StepTimeUS,
	}
	out.Number, out.Counts = c.countReporter.nextReport(since, r.Counts)
	return out, &r.Map, nil
}
