package entry

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/errkind"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/quarantine"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// Guards against a request that crashes a server and on a retry reaches the next
// sidecar before the crash report does.
func TestSuspectReportsAreAttachedToNextAttempt(t *testing.T) {
	var s *fakeSidecar
	s = newFakeSidecar(t, "s1", func(out *connect.ServerStream[pb.Chunk], sender *stream.Sender) {
		call := s.lastCall()
		sender.End(errkind.New(errkind.BackendFailed, "backend server crashed"))
		end := sender.Next()
		end.GetEnd().SuspectReports = quarantine.ToProto([]quarantine.Report{{
			Op: quarantine.OpCrashedAlone, EventID: "c1", Time: time.Now(),
			Fingerprint: quarantine.NewFingerprint(call.GetService(), call.GetOrganisation(), call.GetMethod(), call.GetPath(), call.GetBody()),
		}})
		_ = out.Send(end)
	})
	f := newFixture(t, s)
	f.complete(t)
	require.Empty(t, s.lastCall().GetSuspectReports())
	f.complete(t)
	require.Len(t, s.lastCall().GetSuspectReports(), 1)
	require.Equal(t, "c1", s.lastCall().GetSuspectReports()[0].GetCrash())
}
