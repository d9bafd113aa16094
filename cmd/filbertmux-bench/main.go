// Command filbertmux-bench runs the benchmarks and simulations of filbertmux.
package main

import (
	"github.com/alecthomas/kong"

	"github.com/filbertmux/filbertmux/measure/bench/capacity"
	"github.com/filbertmux/filbertmux/measure/bench/claims"
	"github.com/filbertmux/filbertmux/measure/bench/experts"
	"github.com/filbertmux/filbertmux/measure/bench/fleet"
	"github.com/filbertmux/filbertmux/measure/bench/load"
	"github.com/filbertmux/filbertmux/measure/bench/process"
	"github.com/filbertmux/filbertmux/measure/bench/routing"
	"github.com/filbertmux/filbertmux/measure/bench/soak"
)

type commands struct {
	Capacity capacity.Cmd `cmd:"" help:"Measure state, bytes and time of each role and extrapolate to the design size."`
	Claims   claims.Cmd   `cmd:"" help:"Compare claims on the log with keys bound to one sidecar."`
	Experts  experts.Cmd  `cmd:"" help:"Measure load skew and expert moves of each planner policy."`
	Fleet    fleet.Cmd    `cmd:"" help:"Measure the time until a table change is in force on all processes of a fleet, in virtual time."`
	Load     load.Cmd     `cmd:"" help:"Send streamed completions to an entry and check each answer."`
	Process  process.Cmd  `cmd:"" help:"Measure processor time, memory and bytes of running processes."`
	Routing  routing.Cmd  `cmd:"" help:"Measure routing, queueing, limits, retries and membership."`
	Soak     soak.Cmd     `cmd:"" help:"Run separate processes under random faults of a seed and check what is promised."`
}

func main() {
	ctx := kong.Parse(&commands{}, kong.Name("filbertmux-bench"), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
