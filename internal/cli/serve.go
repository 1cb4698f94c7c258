package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/urfave/cli/v3"

	"github.com/jujubeshed/jujubeshed/internal/gateway"
	"github.com/jujubeshed/jujubeshed/internal/logqueue"
	"github.com/jujubeshed/jujubeshed/platform"
)

const (
	// memoryShare is the part of the memory limit that Go's heap may use before it
	// collects at once; the rest is for stacks and the kernel's buffers.
	memoryShare = 0.6
	// logFlushTimeout bounds the writing of the last log lines.
	logFlushTimeout = 300 * time.Millisecond
	// gcPercent lets the heap triple between collections: it is small.
	gcPercent = 200
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "runs the process of an entry host on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "path of the platform's settings file (default: where the platform says)", Sources: env("settings")},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error", Sources: env("log-level")},
		},
		Action: runServe,
	}
}

func runServe(ctx context.Context, cmd *cli.Command) error {
	lines := logqueue.New(cmd.Root().Writer, logqueue.DefaultCapacity)
	defer func() {
		flush, cancel := context.WithTimeout(context.Background(), logFlushTimeout)
		defer cancel()
		_ = lines.Stop(flush) // there is nowhere left to tell
	}()
	log, err := buildLogger(lines, cmd.String("log-level"), "json")
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
	debug.SetGCPercent(gcPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	reg := prometheus.NewRegistry()
	n, err := gateway.New(settings, platform.New(settings, reg), reg, log)
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	for {
		select {
		case <-reload:
			next, err := platform.LoadSettings(path)
			log.Info("gateway: Settings read again; those in force stay until the next start.", "changed", err == nil && !next.Equal(settings), "error", err)
		case <-ctx.Done():
			return n.Stop(context.WithoutCancel(ctx))
		}
	}
}
