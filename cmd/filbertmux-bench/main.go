// Command filbertmux-bench measures the decision packages.
package main

import (
	"github.com/alecthomas/kong"

	"github.com/filbertmux/filbertmux/bench/experts"
)

type cli struct {
	Experts experts.Cmd `cmd:"" help:"Expert planner: skew and moves of each policy."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("filbertmux-bench"), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}
