package cli

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/urfave/cli/v3"

	"github.com/jujubeshed/jujubeshed/internal/gateway"
	"github.com/jujubeshed/jujubeshed/internal/hangup"
	"github.com/jujubeshed/jujubeshed/internal/logqueue"
	"github.com/jujubeshed/jujubeshed/platform"
)

const (
	// goMemoryFraction is the fraction of the node's memory limit that becomes Go's memory
	// limit, near which the garbage collector runs at once. The rest is for stacks and
	// kernel buffers.
	goMemoryFraction = 0.6
	// logFlushTimeout limits how long queued log lines are written at exit.
	logFlushTimeout = 300 * time.Millisecond
	// gcPercent lets the heap grow to three times its live size between collections, as
	// the live heap is small.
	gcPercent = 200
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  hangup.Command,
		Usage: "run an entry node on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "path of the platform's settings file (default: $JUJUBESHED_BOOT or /etc/jujubeshed/node.conf)", Sources: env("settings")},
			&cli.BoolFlag{Name: "ignore-endpoint-speed", Usage: "treat all endpoints of a service as equally fast", Sources: env("ignore-endpoint-speed")},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error", Sources: env("log-level")},
		},
		Action: runServe,
	}
}

func runServe(ctx context.Context, cmd *cli.Command) error {
	logWriter := logqueue.New(cmd.Root().Writer, logqueue.DefaultCapacity)
	defer func() {
		flush, cancel := context.WithTimeout(context.Background(), logFlushTimeout)
		defer cancel()
		_ = logWriter.Stop(flush) // the error cannot be logged any more
	}()
	log, err := buildLogger(logWriter, cmd.String("log-level"), "json")
	if err != nil {
		return err
	}
	path := cmd.String("settings")
	if path == "" {
		path = platform.SettingsPath()
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return usageError{err}
	}
	settings.IgnoreEndpointSpeed = cmd.Bool("ignore-endpoint-speed")
	debug.SetGCPercent(gcPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(goMemoryFraction * float64(settings.MemoryBytes)))
	}
	reg := prometheus.NewRegistry()
	n, err := gateway.New(settings, platform.New(settings, reg, log), reg, log)
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	for {
		select {
		case <-hangup.Signals():
			next, err := platform.LoadSettings(path)
			log.Info("gateway: Reload requested; changed settings take effect at the next start.", "changed", err == nil && !next.Equal(settings), "error", err)
		case <-ctx.Done():
			return n.Stop(context.WithoutCancel(ctx))
		}
	}
}
