// Command filbertmux runs the daemons and the commands for operators.
package main

import (
	"context"
	"os"

	"github.com/filbertmux/filbertmux/daemons/cli"
)

func main() {
	os.Exit(cli.Main(context.Background(), os.Args[1:], cli.StandardStreams()))
}
