package scenarios

import (
	"net"
	"testing"

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
