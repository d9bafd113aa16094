package suspectlog_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/measure/standin"
	"github.com/filbertmux/filbertmux/serve/quarantine"
	"github.com/filbertmux/filbertmux/serve/suspectlog"
)

func newReports(n int) []quarantine.Report {
	var list []quarantine.Report
	for i := range n {
		list = append(list, quarantine.Report{
			Op: quarantine.OpCrashedAlone, EventID: fmt.Sprint(i), Time: time.Now(),
			Fingerprint: quarantine.Fingerprint{Service: "svc", Organisation: "org", BodyHash: fmt.Sprint(i)},
		})
	}
	return list
}

// Guards against reports that never reach other sidecars when the log is
// unavailable or the answer to an append is lost, and against a burst of crashes
// that floods the log.
func TestReportsReachOtherSidecars(t *testing.T) { synctest.Test(t, checkReportsReachOtherSidecars) }

func checkReportsReachOtherSidecars(t *testing.T) {
	log := standin.NewPlatform(standin.PlatformConfig{})
	s := suspectlog.DefaultSettings()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	_, err := log.Append(ctx, quarantine.StreamName, []byte(`{"type":"later version"}`))
	require.NoError(t, err)
	log.SetFaults(standin.Faults{LogDown: true, StreamPrefix: quarantine.StreamName})
	writer, reader := suspectlog.New(log, s, zerolog.Nop()), suspectlog.New(log, s, zerolog.Nop())
	registry := quarantine.NewRegistry(quarantine.DefaultSettings())
	go func() { _ = writer.RunAppender(ctx) }()
	go func() {
		_ = reader.Follow(ctx, func(reports []quarantine.Report) {
			for _, r := range reports {
				registry.Apply(time.Now(), r)
			}
		})
	}()
	const sent = 300
	writer.Publish(newReports(sent))
	time.Sleep(time.Second)
	log.SetFaults(standin.Faults{LoseAppendResponses: 1, StreamPrefix: quarantine.StreamName})
	time.Sleep(20 * time.Second)
	synctest.Wait()
	require.Equal(t, sent, registry.Len())
	require.Len(t, registry.Reports(newReports(1)[0].Fingerprint), 1, "a record that was appended twice counts once")
	require.Equal(t, int64(1), reader.Skipped())
	batch, err := log.Read(ctx, quarantine.StreamName, 0, 100, 0)
	require.NoError(t, err)
	require.LessOrEqual(t, len(batch.Records), 8, "300 reports in records of up to 64, one record appended twice, one of another type")
	cancel()
	synctest.Wait()
}
