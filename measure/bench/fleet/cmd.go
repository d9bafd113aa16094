package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// Cmd is the command filbertmux-bench fleet. It simulates a fleet of the design
// size and prints the report.
type Cmd struct {
	Seed          uint64        `default:"1" help:"Seed of the run. The order of goroutines is not part of it."`
	Readers       int           `default:"930" help:"Processes that read the table, in two regions."`
	Duration      time.Duration `default:"2h" help:"Virtual time. Two hours take about three minutes on one core."`
	ReadWait      time.Duration `default:"0s" help:"Long poll of a reader; 0 is the default of tablesync."`
	Organisations int           `default:"10" help:"Organisations in each office. Virtual time has no processor time."`
	Changes       float64       `default:"2200" help:"Changes a day."`
	Burst         int           `default:"100" help:"Further changes in one minute."`
	Reads         float64       `default:"2000" help:"Limit of reads a second at the log, all readers together."`
	Appends       float64       `default:"300" help:"Limit of appends a second at the log."`
	LostAppends   float64       `default:"0.05" help:"Share of appends whose answer is lost."`
	LostReads     float64       `default:"0.0001" help:"Share of reads whose answer is lost."`
	Messages      float64       `default:"0.1" help:"Messages a second that each process exchanges with others; they carry the table offset."`
	Faults        bool          `default:"true" negatable:"" help:"Outage of the log and readers that can't reach it."`
	Apart         bool          `help:"Separate the regions in the second half; one of them keeps the log."`
	JSON          bool          `help:"Print one JSON object."`
}

// Process replacements and log retention of an ordinary day. A run has all
// replacements of a day, whatever its length.
const (
	restartsPerDay = 48
	failuresPerDay = 5
	retention      = 24 * time.Hour
)

func (c *Cmd) config() Config {
	d := c.Duration
	config := Config{
		Seed: c.Seed, Readers: c.Readers, Regions: 2, Organisations: c.Organisations, Duration: d, ReadWait: c.ReadWait,
		Log: LogConfig{
			// With half of the run as the retention, each run has at least three
			// snapshots.
			Retention: min(retention, d/2), AppendRate: c.Appends, ReadRate: c.Reads,
			LostAppendShare: c.LostAppends, LostReadShare: c.LostReads,
		},
		ChangesPerDay: c.Changes, BurstAt: d / 10, BurstChanges: c.Burst,
		Restarts: restartsPerDay, Failures: failuresPerDay, MessagesPerSec: c.Messages,
	}
	if c.Faults {
		config.Outages = []Window{{d / 4, d/4 + min(d/12, 10*time.Minute)}}
		config.LogPartition, config.LogPartitionShare = Window{d * 4 / 10, d*4/10 + min(d/12, 10*time.Minute)}, 0.1
	}
	if c.Apart {
		config.RegionPartition = Window{d / 2, d/2 + min(d/3, time.Hour)}
	}
	return config
}

// Run implements the kong command. The virtual time of testing/synctest is only
// available in a test, so Run executes the simulation as one and ends the
// process.
func (c *Cmd) Run() error {
	os.Args = os.Args[:1] // testing.Main would parse the flags of this command
	measure := testing.InternalTest{Name: "fleet", F: func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			report, err := Run(t.Context(), c.config())
			if err == nil {
				err = c.print(report)
			}
			if err != nil {
				t.Fatal(err)
			}
		})
	}}
	all := func(string, string) (bool, error) { return true, nil }
	testing.Main(all, []testing.InternalTest{measure}, nil, nil)
	return nil
}

func (c *Cmd) print(r Report) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	return Print(os.Stdout, r)
}

// Print writes a report as a Markdown table.
func Print(w io.Writer, r Report) error {
	times := func(t Times) string {
		return fmt.Sprintf("%d: p50 %.2f s, p99 %.2f s, worst %.2f s", t.Count, t.P50.Seconds(), t.P99.Seconds(), t.Worst.Seconds())
	}
	rows := [][2]string{
		{"changes accepted, refused", fmt.Sprintf("%d, %d", r.Accepted, r.Refused)},
		{"append until in force everywhere, log reachable by all", times(r.Reachable)},
		{"the same, near or during an outage or a cut", times(r.Disturbed)},
		{"each change on each reader", times(r.EachReader)},
		{"regions meet until at the newest offset, each process", times(r.CatchUps)},
		{"process start until at the newest offset", times(r.Starts)},
		{"changes later than the bound, missing on a process", fmt.Sprintf("%d, %d", r.Late, r.Missing)},
		{"reverts, disagreements", fmt.Sprintf("%d, %d %s", r.Reverts, r.Disagreements, r.FirstViolation)},
		{"reads at the log", fmt.Sprintf("%.0f/s, %d in the busiest second, %d requests refused for their rate", r.ReadsPerSec, r.PeakReadsPerSec, r.RefusedByRate)},
		{"bytes of a reader", fmt.Sprintf("p50 %.0f B/s, p99 %.0f B/s, worst %.0f B/s", r.BytesPerSec.P50, r.BytesPerSec.P99, r.BytesPerSec.Worst)},
		{"snapshots published, catch-ups from peers", fmt.Sprintf("%d, %d", r.Snapshots, r.PeerCatchUps)},
	}
	for _, row := range rows {
		if _, err := fmt.Fprintf(w, "| %s | %s |\n", row[0], row[1]); err != nil {
			return err
		}
	}
	return nil
}
