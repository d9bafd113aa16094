// Package agentconn carries the calls between the agents of a rank group.
//
// It is designed for the holder of a large group, which reads 72 ranks several times per
// second with a fifth of a core and 8 Mbit/s. A call of an HTTP client takes about 0.1 ms
// of processor time and 500 bytes of headers, and a state has 50 bytes. So each pair of
// agents keeps a connection open that carries length-delimited protobuf messages, one call
// at a time. It begins as an HTTP request that is upgraded, at the address where an agent
// serves RankAgentService, so that it needs no further port. An agent of an earlier build
// doesn't know the path, and the caller uses RankAgentService instead.
//
// A call has no side effects in the package: a call that got no answer may have reached the
// other agent, and may be carried out later.
package agentconn

import (
	"bufio"
	"io"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

const (
	// Path is the path of the request that opens a connection.
	Path = "/filbertmux.v1.AgentCalls"
	// protocol is the name of the protocol in that request.
	protocol = "filbertmux-agent-calls"
	// clientIdleTimeout is how long an idle connection is used again, and
	// serverIdleTimeout how long the other side keeps it. It is the longer one, so that a
	// connection rarely closes while a call is on its way.
	clientIdleTimeout = 30 * time.Second
	serverIdleTimeout = 60 * time.Second
	// maxUpgradeBytes bounds the response to the request that opens a connection. Another
	// server may have taken over the address of an agent.
	maxUpgradeBytes = 8 << 10
	// maxMessageBytes bounds a message. A whole map of 1,024 ranks with 16 layer sets
	// of 11 experts takes 400 KB.
	maxMessageBytes = 1 << 20
)

// messageWriter writes messages with one call of the connection each.
type messageWriter struct {
	w      io.Writer
	buffer []byte
}

func (m *messageWriter) write(message proto.Message) error {
	m.buffer = protowire.AppendVarint(m.buffer[:0], uint64(proto.Size(message)))
	var err error
	if m.buffer, err = (proto.MarshalOptions{UseCachedSize: true}).MarshalAppend(m.buffer, message); err != nil {
		return err
	}
	_, err = m.w.Write(m.buffer)
	return err
}

func readMessage(r *bufio.Reader, message proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(r, message)
}
