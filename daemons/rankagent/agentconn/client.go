package agentconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// ErrNotServed says that the other agent doesn't serve connections for calls, because it
// runs an earlier build.
var ErrNotServed = errors.New("agent serves no connections for calls")

// Dial opens a connection to an address. It gives up at the deadline of ctx.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls one agent. It is safe for concurrent use; calls wait for one another.
type Client struct {
	address string
	dial    Dial

	mu     sync.Mutex
	conn   net.Conn
	r      *bufio.Reader
	w      messageWriter
	usedAt time.Time
}

// NewClient returns a client of the agent at an address.
func NewClient(address string, dial Dial) *Client { return &Client{address: address, dial: dial} }

// Read reads the rank beside the agent. ctx must have a deadline, at which the call ends; it
// doesn't end when ctx is canceled before.
func (c *Client) Read(ctx context.Context, m *pb.ReadRankRequest) (*pb.ReadRankResponse, error) {
	answer, err := c.call(ctx, &pb.AgentCall{Call: &pb.AgentCall_Read{Read: m}})
	return answer.GetRead(), err
}

// Order passes an order on to that rank; see Read. After an error the order may still be
// carried out.
func (c *Client) Order(ctx context.Context, m *pb.OrderRankRequest) (*pb.OrderRankResponse, error) {
	answer, err := c.call(ctx, &pb.AgentCall{Call: &pb.AgentCall_Order{Order: m}})
	return answer.GetOrder(), err
}

// call sends a call and returns its answer. Calls may be repeated, so a call on a
// connection that the other side has closed meanwhile is sent once more on a new one.
func (c *Client) call(ctx context.Context, m *pb.AgentCall) (*pb.AgentAnswer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, errkind.New(errkind.Internal, "call of an agent without a deadline")
	}
	if c.conn != nil && time.Since(c.usedAt) > clientIdleTimeout {
		c.close()
	}
	reused := c.conn != nil
	answer, err := c.attempt(ctx, deadline, m)
	if err != nil && reused {
		answer, err = c.attempt(ctx, deadline, m)
	}
	if errors.Is(err, ErrNotServed) {
		return nil, err
	}
	if err != nil {
		return nil, errkind.Wrap(errkind.BackendUnavailable, err, "call agent")
	}
	if answer.GetError() != "" {
		return nil, errkind.New(errkind.BackendUnavailable, "agent: %s", answer.GetError())
	}
	return answer, nil
}

// attempt sends a call once. After an error the connection is closed.
func (c *Client) attempt(ctx context.Context, deadline time.Time, m *pb.AgentCall) (answer *pb.AgentAnswer, err error) {
	if c.conn == nil {
		if err := c.open(ctx, deadline); err != nil {
			return nil, err
		}
	}
	defer func() {
		if err != nil {
			c.close()
		}
	}()
	if err := c.conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	c.usedAt = time.Now()
	m.TimeoutMs = uint32(max(deadline.Sub(c.usedAt).Milliseconds(), 1))
	if err := c.w.write(m); err != nil {
		return nil, err
	}
	answer = &pb.AgentAnswer{}
	return answer, readMessage(c.r, answer)
}

// open opens a connection.
func (c *Client) open(ctx context.Context, deadline time.Time) error {
	conn, err := c.dial(ctx, "tcp", c.address)
	if err != nil {
		return err
	}
	if err = upgrade(conn, c.address, deadline); err != nil {
		_ = conn.Close()
		return err
	}
	c.conn, c.r, c.w = conn, bufio.NewReader(conn), messageWriter{w: conn}
	return nil
}

// upgrade asks the agent to serve calls on a new connection. The agent sends nothing after
// its response until it is called.
func upgrade(conn net.Conn, address string, deadline time.Time) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+address+Path, http.NoBody)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "create upgrade request")
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", protocol)
	if err := request.Write(conn); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, maxUpgradeBytes)), request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusSwitchingProtocols {
		return ErrNotServed
	}
	return nil
}

// close closes the connection, if there is one.
func (c *Client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Close closes the connection. The client may be used again.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.close()
}
