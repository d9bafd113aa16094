package scenarios

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a link that can't listen again after mode refuse, because another socket
// of the machine has taken its port meanwhile.
func TestLinkKeepsItsAddress(t *testing.T) {
	l, err := newLink("127.0.0.1:1")
	require.NoError(t, err)
	defer l.close()
	_, port, err := net.SplitHostPort(l.address)
	require.NoError(t, err)
	require.NoError(t, l.setMode("refuse"))
	other, err := net.Listen("tcp4", net.JoinHostPort("127.0.0.1", port))
	require.NoError(t, err)
	defer func() { _ = other.Close() }()
	require.NoError(t, l.setMode("pass"))
}

// Guards against a fault of the link that doesn't happen: mode one-way has to lose what
// the target sends and deliver what it gets, and mode delay has to hold bytes back.
func TestLinkCutsOneWayAndDelays(t *testing.T) {
	target, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = target.Close() }()
	l, err := newLink(target.Addr().String())
	require.NoError(t, err)
	defer l.close()
	b := make([]byte, 1)

	require.NoError(t, l.setMode("delay"))
	client, server := connectThrough(t, l, target)
	began := time.Now()
	_, err = client.Write([]byte("a"))
	require.NoError(t, err)
	_, err = io.ReadFull(server, b)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(began), linkDelay)

	require.NoError(t, l.setMode("one-way"))
	later, laterServer := connectThrough(t, l, target)
	for client, server := range map[net.Conn]net.Conn{client: server, later: laterServer} {
		_, err = client.Write([]byte("a"))
		require.NoError(t, err)
		_, err = io.ReadFull(server, b)
		require.NoError(t, err)
		_, err = server.Write([]byte("b"))
		require.NoError(t, err)
		require.NoError(t, client.SetReadDeadline(time.Now().Add(3*linkDelay)))
		_, err = client.Read(b)
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	}
}

// connectThrough returns both ends of a connection through a link.
func connectThrough(t *testing.T, l *link, target net.Listener) (client, server net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp4", l.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	server, err = target.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return client, server
}
