// Command filbertmux-bench measures design alternatives.
package main

import (
	"github.com/alecthomas/kong"

	"github.com/filbertmux/filbertmux/bench/claims"
)

type commands struct {
	Claims claims.Cmd `cmd:"" help:"Claims on the log against keys bound to one sidecar."`
}

func main() {
	var c commands
	ctx := kong.Parse(&c)
	ctx.FatalIfErrorf(ctx.Run())
}
