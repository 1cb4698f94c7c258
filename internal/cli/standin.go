package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/standin/engine"
	standinplatform "github.com/jujubeshed/jujubeshed/internal/standin/platform"
	"github.com/jujubeshed/jujubeshed/internal/standin/process"
	"github.com/jujubeshed/jujubeshed/internal/standin/service"
)

// standinCommand returns the command that runs stand-ins for the systems around a node.
func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a small stand-in for the platform, an engine or a plain service (for trials and tests)",
		Commands: []*cli.Command{
			{
				Name:   "platform",
				Usage:  "object store, host list and cloud",
				Flags:  standinFlags(),
				Action: runStandinPlatform,
			},
			{
				Name:   "engine",
				Usage:  "model engine with streamed responses",
				Flags:  append(append(standinFlags(), standinHostFlags()...), standinEngineFlags()...),
				Action: runStandinEngine,
			},
			{
				Name:   "service",
				Usage:  "plain service that accepts orders and serves a catalogue",
				Flags:  append(append(standinFlags(), standinHostFlags()...), standinServiceFlags()...),
				Action: runStandinService,
			},
		},
	}
}

func standinString(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

func standinInt(name string, value int, usage string) cli.Flag {
	return &cli.IntFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

func standinFloat(name string, value float64, usage string) cli.Flag {
	return &cli.FloatFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

func standinBool(name string, value bool, usage string) cli.Flag {
	return &cli.BoolFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

func standinFlags() []cli.Flag {
	return []cli.Flag{
		standinString("listen", "127.0.0.1:0", "address `IP:PORT` to serve on"),
		standinString("faults", "{}", "initial faults, in the `JSON` format of the control endpoint"),
		standinInt("seed", 1, "seed of the random faults"),
	}
}

func standinHostFlags() []cli.Flag {
	return []cli.Flag{
		standinString("platform", "", "address `IP:PORT` of the platform stand-in; if empty, the endpoint is not registered"),
		standinString("host", "", "name of the host"),
		standinString("data-centre", "", "data centre of the host"),
		standinString("service", "", "service that the endpoint belongs to"),
		standinString("version", "1", "version that the endpoint serves"),
		standinString("class", "standard", "machine class of the host"),
		standinBool("reclaimable", true, "the host may be reclaimed"),
		standinFloat("price", 1, "price of the host per hour"),
		standinInt("incarnation", 0, "incarnation of the host; 0 means the start time in Unix milliseconds"),
	}
}

func standinEngineFlags() []cli.Flag {
	return []cli.Flag{
		standinInt("max-running", 0, "maximum number of requests in a batch; 0 means the default"),
		standinFloat("prefill-rate", 0, "prompt tokens per second; 0 means the default"),
		standinFloat("decode-rate", 0, "tokens per second of a single stream; 0 means the default"),
		standinInt("cache-blocks", 0, "blocks of the prefix cache; 0 means the default"),
		standinBool("checks-fence", false, "refuse orders with an outdated fencing token"),
		standinFloat("speed", 1, "factor by which all simulated times are divided"),
	}
}

func standinServiceFlags() []cli.Flag {
	return []cli.Flag{
		standinBool("drop-duplicates", false, "return the first order for a repeated Idempotency-Key"),
	}
}

func runStandinPlatform(ctx context.Context, cmd *cli.Command) error {
	var faults standinplatform.Faults
	if err := standinFaults(cmd, &faults); err != nil {
		return err
	}
	l, err := standinListen(ctx, cmd)
	if err != nil {
		return err
	}
	s := standinplatform.New(standinplatform.Options{Seed: uint64(cmd.Int("seed")), Faults: faults})
	return process.Run(ctx, process.Options{Listener: l, Handler: s.Handler()})
}

func runStandinEngine(ctx context.Context, cmd *cli.Command) error {
	opts := engine.Options{
		ID:            ident.EndpointID(cmd.String("host")),
		Version:       ident.Version(cmd.String("version")),
		MaxRunning:    cmd.Int("max-running"),
		PrefillPerSec: cmd.Float("prefill-rate"),
		DecodePerSec:  cmd.Float("decode-rate"),
		CacheBlocks:   cmd.Int("cache-blocks"),
		ChecksFence:   cmd.Bool("checks-fence"),
		Speed:         cmd.Float("speed"),
		Seed:          uint64(cmd.Int("seed")),
	}
	if err := standinFaults(cmd, &opts.Faults); err != nil {
		return err
	}
	if opts.Speed <= 0 {
		return usageError{fmt.Errorf("--speed %v: want a number above 0", opts.Speed)}
	}
	e := engine.New(opts)
	return runStandinEndpoint(ctx, cmd, platformapi.KindEngine, e.Handler(), e.SetLeaving)
}

func runStandinService(ctx context.Context, cmd *cli.Command) error {
	opts := service.Options{
		ID:             ident.EndpointID(cmd.String("host")),
		Version:        ident.Version(cmd.String("version")),
		DropDuplicates: cmd.Bool("drop-duplicates"),
		Seed:           uint64(cmd.Int("seed")),
	}
	if err := standinFaults(cmd, &opts.Faults); err != nil {
		return err
	}
	s := service.New(opts)
	return runStandinEndpoint(ctx, cmd, platformapi.KindPlain, s.Handler(), s.SetLeaving)
}

// runStandinEndpoint serves an endpoint, which is the only one of its host, until it is
// stopped or the host is reclaimed.
func runStandinEndpoint(ctx context.Context, cmd *cli.Command, kind platformapi.EndpointKind, h http.Handler, setLeaving func(endpoint.LeavingState)) error {
	if cmd.String("platform") != "" {
		for _, name := range []string{"host", "data-centre", "service"} {
			if cmd.String(name) == "" {
				return usageError{fmt.Errorf("--%s %q: want a name, because --platform is set", name, "")}
			}
		}
	}
	l, err := standinListen(ctx, cmd)
	if err != nil {
		return err
	}
	incarnation := ident.Incarnation(cmd.Int("incarnation"))
	if incarnation == 0 {
		incarnation = ident.Incarnation(time.Now().UnixMilli())
	}
	err = process.Run(ctx, process.Options{
		Listener: l,
		Handler:  h,
		Platform: cmd.String("platform"),
		Host: platformapi.HostInfo{
			Host:         ident.Host(cmd.String("host")),
			DataCentre:   ident.DataCentre(cmd.String("data-centre")),
			Incarnation:  incarnation,
			Reclaimable:  cmd.Bool("reclaimable"),
			PricePerHour: cmd.Float("price"),
			Class:        cmd.String("class"),
		},
		Endpoint: platformapi.EndpointInfo{
			ID:      ident.EndpointID(cmd.String("host")),
			Kind:    kind,
			Service: ident.Service(cmd.String("service")),
			Version: ident.Version(cmd.String("version")),
		},
		SetLeaving: setLeaving,
		Log:        slog.Default(),
	})
	if errors.Is(err, process.ErrReclaimed) {
		return nil
	}
	return err
}

func standinFaults(cmd *cli.Command, out any) error {
	d := json.NewDecoder(strings.NewReader(cmd.String("faults")))
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		return usageError{fmt.Errorf("--faults %q: want JSON for %T: %w", cmd.String("faults"), out, err)}
	}
	return nil
}

// standinListen opens the listener and prints its address for the process that started
// the stand-in.
func standinListen(ctx context.Context, cmd *cli.Command) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", cmd.String("listen"))
	if err != nil {
		return nil, usageError{fmt.Errorf("--listen %q: want a free ip:port: %w", cmd.String("listen"), err)}
	}
	fmt.Fprintln(cmd.Root().Writer, "listening", l.Addr())
	return l, nil
}
