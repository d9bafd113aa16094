// Command filbertmux-bench measures the decision packages and the daemons.
package main

import (
	"github.com/alecthomas/kong"

	"github.com/filbertmux/filbertmux/bench/routing"
)

type commands struct {
	Routing routing.Cmd `cmd:"" help:"Measure routing, queueing, limits, retries and membership."`
}

func main() {
	ctx := kong.Parse(&commands{}, kong.Name("filbertmux-bench"))
	ctx.FatalIfErrorf(ctx.Run())
}
