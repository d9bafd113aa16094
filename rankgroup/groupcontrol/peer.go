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
	c      *Controller
	id     mapswitch.MemberID
	outbox *ring.Queue[mapswitch.Message]
}

func newPeer(c *Controller, id mapswitch.MemberID) *peer {
	cfg := ring.Config{Name: "group peer", Capacity: peerCapacity, Policy: ring.DropOldest}
	return &peer{c: c, id: id, outbox: ring.New[mapswitch.Message](cfg)}
}

func (p *peer) push(m mapswitch.Message) { _ = p.outbox.Push(context.Background(), m) }

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
			p.c.opts.Log.Debug().Err(err).Int("member", int(p.id)).Msg("message to a member")
			clock.Sleep(ctx, p.c.opts.Timing.RetryDelay)
		}
	}
}

// deliver sends to each address. A message to a process that has been replaced
// does no harm, because only one of them reaches the ranks.
func (p *peer) deliver(ctx context.Context, messages []*pb.GroupMessage) error {
	err := error(errkind.New(errkind.NoBackendServer, "no sidecar is known"))
	for _, address := range p.c.opts.Addresses(p.id) {
		call, cancel := context.WithTimeout(ctx, p.c.opts.Timing.CallTimeout)
		var resp *connect.Response[pb.DeliverResponse]
		resp, err = p.client(address).Deliver(call, connect.NewRequest(&pb.DeliverRequest{
			Group: p.c.opts.Group, From: uint32(p.c.opts.MemberID), To: uint32(p.id),
			TableOffset: uint64(p.c.opts.Table.Offset()), Messages: messages,
		}))
		cancel()
		if err == nil {
			p.c.learn(resp.Msg.GetTableOffset())
		}
	}
	return err
}

// compressFrom is the size from which requests are compressed. Only a plan
// reaches it: it carries a map of some 30 KB at the design size.
const compressFrom = 1024

func (p *peer) client(address string) filbertmuxv1connect.GroupServiceClient {
	return filbertmuxv1connect.NewGroupServiceClient(p.c.opts.PeerClient, "http://"+address,
		connect.WithSendGzip(), connect.WithCompressMinBytes(compressFrom))
}

// report asks the member for what the planner needs, with the counts since the
// report of the given number.
func (p *peer) report(ctx context.Context, since uint64) (*pb.GroupReportResponse, error) {
	err := error(errkind.New(errkind.NoBackendServer, "no sidecar of member %d is known", p.id))
	for _, address := range slices.Backward(p.c.opts.Addresses(p.id)) {
		call, cancel := context.WithTimeout(ctx, p.c.opts.Timing.CallTimeout)
		var resp *connect.Response[pb.GroupReportResponse]
		resp, err = p.client(address).Report(call, connect.NewRequest(&pb.GroupReportRequest{
			Group: p.c.opts.Group, To: uint32(p.id), TableOffset: uint64(p.c.opts.Table.Offset()), Since: since,
		}))
		cancel()
		if err == nil {
			p.c.learn(resp.Msg.GetTableOffset())
			return resp.Msg, nil
		}
	}
	return nil, err
}

// Deliver implements GroupService.
func (c *Controller) Deliver(_ context.Context, req *connect.Request[pb.DeliverRequest]) (*connect.Response[pb.DeliverResponse], error) {
	if err := c.checkAddressee(req.Msg.GetGroup(), req.Msg.GetTo()); err != nil {
		return nil, err
	}
	if int(req.Msg.GetFrom()) >= c.opts.MemberCount {
		return nil, connect.NewError(connect.CodeInvalidArgument,
			errkind.New(errkind.InvalidRequest, "member %d of %d", req.Msg.GetFrom(), c.opts.MemberCount))
	}
	c.learn(req.Msg.GetTableOffset())
	from := mapswitch.MemberID(req.Msg.GetFrom())
	for _, m := range req.Msg.GetMessages() {
		if message := decode(from, m); message != nil {
			c.push(event{from: from, message: message})
		}
	}
	return connect.NewResponse(&pb.DeliverResponse{TableOffset: uint64(c.opts.Table.Offset())}), nil
}

// Report implements GroupService.
func (c *Controller) Report(ctx context.Context, req *connect.Request[pb.GroupReportRequest]) (*connect.Response[pb.GroupReportResponse], error) {
	if err := c.checkAddressee(req.Msg.GetGroup(), req.Msg.GetTo()); err != nil {
		return nil, err
	}
	c.learn(req.Msg.GetTableOffset())
	r, _, err := c.ownReport(ctx, req.Msg.GetSince())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(r), nil
}

func (c *Controller) checkAddressee(group string, to uint32) error {
	if group == c.opts.Group && mapswitch.MemberID(to) == c.opts.MemberID {
		return nil
	}
	return connect.NewError(connect.CodeNotFound,
		errkind.New(errkind.InvalidRequest, "member %d of group %q is not here", to, group))
}

func (c *Controller) learn(offset uint64) { c.opts.Table.Learn(infra.Offset(offset)) }

// ownReport reads the backend server beside this process.
func (c *Controller) ownReport(ctx context.Context, since uint64) (*pb.GroupReportResponse, *experts.Map, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timing.CallTimeout)
	defer cancel()
	r, err := c.backend.report(ctx)
	if err != nil {
		return nil, nil, err
	}
	out := &pb.GroupReportResponse{
		TableOffset: uint64(c.opts.Table.Offset()), FailureDomain: c.opts.FailureDomain,
		Experts: uint32(r.Experts), SlotsPerRank: uint32(r.SlotsPerRank),
		Epoch: r.Map.Epoch, CountsAgeMs: r.CountsAgeMS, StepTimeUs: r.StepTimeUS,
	}
	out.Number, out.Counts = c.reported.next(since, r.Counts)
	return out, &r.Map, nil
}
