// Command other-group lets four replicas crash and come back as ranks of each other's group, and
// checks that no pass begins while two ranks of a group have different maps.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/filbertmux/filbertmux/review/kit3"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

const (
	groups = 4
	ranks  = 6
	// vacancy is the rank that crashes in each second group. In the others it is rank 0, whose
	// agent is the first to claim the lead of its group. So 4 of 24 replicas crash, 0.167 of the
	// service.
	vacancy = 3

	settleTime = 10 * time.Second
	downFor    = 4500 * time.Millisecond
	shiftEvery = 3200 * time.Millisecond
	shiftShare = 0.65
	endAfter   = 110 * time.Second
)

var shape = kit3.GroupShape{
	Service: "desk-model", Ranks: ranks, Sets: 16, Experts: 24, Places: 5, SpareCount: 4,
	CopyTime: 142 * time.Millisecond, PassTime: 60 * time.Millisecond, FormTime: 600 * time.Millisecond, OrderTime: 60 * time.Millisecond, ReportLag: 200 * time.Millisecond,
}

func main() { os.Exit(run()) }

func run() int {
	kit3.EndOnSignal(cannotRun)
	record, err := kit3.NewRecord(os.Args[1])
	if err != nil {
		return cannotRun
	}
	defer record.Close()
	code, err := play(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.Now("can't run: %v", err)
		return cannotRun
	}
	return code
}

// play runs two groups and their agents. Without trouble, each replica that crashes comes back as
// the rank that it was.
func play(record *kit3.Record, trouble bool) (int, error) {
	root, err := os.Getwd()
	if err != nil {
		return 0, err
	}
	store, err := kit3.NewStore("127.0.0.1")
	if err != nil {
		return 0, err
	}
	config, err := kit3.ConfigOfGroups(1, shape)
	if err != nil {
		return 0, err
	}
	store.Put("keyed.op", "config", config)
	var names []string
	for n := range groups {
		names = append(names, fmt.Sprintf("g%d", n+1))
	}
	s, err := kit3.NewRanks(store, record, shape, names, func(n int) string { return fmt.Sprintf("127.0.71.%d", n+1) })
	if err != nil {
		return 0, err
	}
	defer s.Stop()
	d, err := kit3.NewDeployment(root, store.Address())
	if err != nil {
		return 0, err
	}
	defer d.Remove()
	for n := range groups * ranks {
		a := d.NewAgent(fmt.Sprintf("agent-%d", n), s.Host(n), s.OwnAddress(n), shape.Service)
		if err := a.Start(); err != nil {
			return 0, err
		}
		defer a.Kill()
	}
	shift(s, settleTime)
	for n := 0; n < groups; n += 2 {
		s.Crash(n*ranks, (n+1)*ranks+vacancy)
	}
	time.Sleep(downFor)
	for n := 0; n < groups; n += 2 {
		s.Return(n*ranks, (n+1)*ranks+vacancy, trouble)
	}
	shift(s, endAfter-settleTime-downFor)
	record.Now("%d passes with different maps", len(s.Violations()))
	if len(s.Violations()) > 0 {
		return broken, nil
	}
	for n := range groups {
		if s.Switches(n) == 0 {
			return 0, fmt.Errorf("group %s has never changed its map", names[n])
		}
	}
	return held, nil
}

// shift lets other experts be in demand every few seconds, for a time.
func shift(s *kit3.Ranks, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		s.Shift(shiftShare)
		time.Sleep(min(shiftEvery, time.Until(end)))
	}
}
