// Command jujubeshed serves model and web traffic on reclaimable hosts.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jujubeshed/jujubeshed/internal/cli"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args, os.Stdout, os.Stderr)
	cancel()
	os.Exit(code)
}
