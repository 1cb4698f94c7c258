package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/node"
	"github.com/jujubeshed/jujubeshed/internal/sharedkey"
)

// stopTimeout limits the steps of a planned stop that follow the drain.
const stopTimeout = 2 * time.Minute

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run an entry node",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "node-id", Usage: "unique name of this node", Sources: env("node-id")},
			&cli.StringFlag{Name: "data-centre", Usage: "data centre of this node", Sources: env("data-centre")},
			&cli.StringFlag{Name: "callers", Value: "127.0.0.1:8080", Usage: "IP:port to serve callers on", Sources: env("callers")},
			&cli.StringFlag{Name: "operators", Value: "127.0.0.1:8081", Usage: "IP:port to serve operators and /metrics on", Sources: env("operators")},
			&cli.StringFlag{Name: "peers", Value: "127.0.0.1:8082", Usage: "IP:port to serve other nodes on", Sources: env("peers")},
			&cli.StringFlag{Name: "advertise", Usage: "IP:port at which other nodes reach --peers (default: the value of --peers)", Sources: env("advertise")},
			&cli.StringSliceFlag{Name: "join", Usage: "IP:port of another node's --peers; may be repeated", Sources: env("join")},
			&cli.StringFlag{Name: "host", Usage: "name of this node's host in the platform, used to detect reclaim notices", Sources: env("host")},
			platformFlag(),
			keyFlag(),
			&cli.DurationFlag{Name: "drain-delay", Value: node.DefaultDrainDelay, Usage: "how long to accept new requests after the readiness check starts to fail", Sources: env("drain-delay")},
			&cli.DurationFlag{Name: "drain-timeout", Value: node.DefaultDrainTimeout, Usage: "how long running responses may continue before they are handed over", Sources: env("drain-timeout")},
			&cli.IntFlag{Name: "memory-mb", Value: node.DefaultMemoryMB, Usage: "memory that the process may take, in MB", Sources: env("memory-mb")},
			logLevelFlag(),
			logFormatFlag(),
		},
		Action: runNode,
	}
}

func platformFlag() cli.Flag {
	return &cli.StringFlag{Name: "platform", Value: "127.0.0.1:9000", Usage: "IP:port of the platform's API", Sources: env("platform")}
}

func keyFlag() cli.Flag {
	return &cli.StringFlag{Name: "key", Usage: "secret shared by all nodes and operators", Sources: env("key")}
}

func logLevelFlag() cli.Flag {
	return &cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error", Sources: env("log-level")}
}

func logFormatFlag() cli.Flag {
	return &cli.StringFlag{Name: "log-format", Value: "text", Usage: "text or json", Sources: env("log-format")}
}

func runNode(ctx context.Context, cmd *cli.Command) error {
	log, err := newLogger(cmd)
	if err != nil {
		return err
	}
	opts := node.Options{
		ID:           ident.NodeID(cmd.String("node-id")),
		DataCentre:   ident.DataCentre(cmd.String("data-centre")),
		Host:         ident.Host(cmd.String("host")),
		Callers:      cmd.String("callers"),
		Operators:    cmd.String("operators"),
		Peers:        cmd.String("peers"),
		Advertise:    cmd.String("advertise"),
		Seeds:        cmd.StringSlice("join"),
		Platform:     cmd.String("platform"),
		Key:          sharedkey.Key(cmd.String("key")),
		DrainDelay:   cmd.Duration("drain-delay"),
		DrainTimeout: cmd.Duration("drain-timeout"),
		MemoryBytes:  int64(cmd.Int("memory-mb")) << 20,
	}
	if err := opts.Check(); err != nil {
		return usageError{err}
	}
	if opts.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(goMemoryFraction * float64(opts.MemoryBytes)))
	}
	n, err := node.New(opts, log)
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		log.Info("node: Stop requested.")
	case deadline := <-n.Reclaimed():
		log.Warn("node: Host is being reclaimed, stopping.", "deadline", deadline)
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), opts.DrainDelay+opts.DrainTimeout+stopTimeout)
	defer cancel()
	return n.Stop(stopCtx)
}

// newLogger returns the logger that the --log-level and --log-format flags select.
func newLogger(cmd *cli.Command) (*slog.Logger, error) {
	return buildLogger(cmd.Root().ErrWriter, cmd.String("log-level"), cmd.String("log-format"))
}

// omitStackTrace replaces errors in log attributes by their messages, so that their stack
// traces are not logged.
func omitStackTrace(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

func buildLogger(w io.Writer, level, format string) (*slog.Logger, error) {
	logger, err := formatLogger(w, level, format)
	if err == nil {
		// Libraries log without limits to the standard logger, for example each byte sequence that
		// a peer sends unasked.
		stdlog.SetOutput(slog.NewLogLogger(logger.Handler(), slog.LevelDebug).Writer())
		stdlog.SetFlags(0)
	}
	return logger, err
}

func formatLogger(w io.Writer, level, format string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, usageError{fmt.Errorf("--log-level=%q: debug, info, warn or error is allowed", level)}
	}
	opts := &slog.HandlerOptions{Level: l, ReplaceAttr: omitStackTrace}
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(w, opts)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, opts)), nil
	default:
		return nil, usageError{errors.New("--log-format=\"" + format + "\": text or json is allowed")}
	}
}
