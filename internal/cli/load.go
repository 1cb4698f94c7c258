package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/load"
)

// loadCommand sends a seeded load and reports what became of it.
func loadCommand() *cli.Command {
	env := func(name string) cli.ValueSourceChain {
		return cli.EnvVars("JUJUBESHED_LOAD_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
	}
	list := func(name, usage string) cli.Flag {
		return &cli.StringSliceFlag{Name: name, Usage: usage, Sources: env(name)}
	}
	text := func(name, value, usage string) cli.Flag {
		return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
	}
	flag := func(name string, value bool, usage string) cli.Flag {
		return &cli.BoolFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
	}
	span := func(name string, value time.Duration, usage string) cli.Flag {
		return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
	}
	return &cli.Command{
		Name:  "load",
		Usage: "send a seeded open-loop mix of requests and report what became of them",
		Description: "Exit code 0: the load was sent. With --check it is 1 where an answer was lost, doubled or wrong,\n" +
			"or an order did not take effect as its answer says.",
		Flags: []cli.Flag{
			list("entries", "addresses of entry hosts, `IP:PORT,...`"),
			list("keys", "API keys of workspaces, the largest first, `KEY,...`"),
			&cli.FloatFlag{Name: "rate", Value: 10, Usage: "requests a second", Sources: env("rate")},
			span("duration", 10*time.Second, "time of the arrivals"),
			span("grace", time.Minute, "time for the answers after the last arrival"),
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the plan", Sources: env("seed")},
			text("mix", "quick=0.55,lookup=0.25,order=0.10,long=0.10", "weights of the classes"),
			text("model", "", "model named in chat requests"),
			text("path-quick", "/chat", "route of quick chats"),
			text("path-long", "/drafts", "route of long drafts"),
			text("path-order", "/orders", "route of orders"),
			text("path-lookup", "/catalogue/", "route of lookups, before the ID"),
			list("engines", "control addresses of engine stand-ins, `IP:PORT,...`"),
			list("services", "control addresses of all service stand-ins, `IP:PORT,...`; audits the orders"),
			text("platform", "", "control address of the platform stand-in, `IP:PORT`"),
			flag("verify", true, "check answers against what the stand-ins must answer"),
			flag("json", false, "print the report as JSON"),
			text("report", "", "write a page with plots to `FILE`"),
			flag("check", false, "fail where an answer was lost, doubled or wrong"),
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	opts, err := loadOptions(cmd)
	if err != nil {
		return usageError{err}
	}
	report, err := load.Run(ctx, opts)
	if err != nil {
		return err
	}
	if err := writeLoadReport(cmd, report); err != nil {
		return err
	}
	if cmd.Bool("check") && !report.Good() {
		return errors.New("an answer was lost, doubled or wrong, or an order did not take effect as answered")
	}
	return nil
}

func loadOptions(cmd *cli.Command) (load.Options, error) {
	for _, name := range []string{"entries", "keys"} {
		if len(cmd.StringSlice(name)) == 0 {
			return load.Options{}, fmt.Errorf("--%s is empty: want a list", name)
		}
	}
	if cmd.Float("rate") <= 0 {
		return load.Options{}, fmt.Errorf("--rate %v: want a number above 0", cmd.Float("rate"))
	}
	if cmd.Duration("duration") <= 0 {
		return load.Options{}, fmt.Errorf("--duration %v: want a time above 0", cmd.Duration("duration"))
	}
	mix, err := parseMix(cmd.String("mix"))
	if err != nil {
		return load.Options{}, err
	}
	return load.Options{
		Entries:  cmd.StringSlice("entries"),
		Keys:     cmd.StringSlice("keys"),
		Rate:     cmd.Float("rate"),
		Duration: cmd.Duration("duration"),
		Grace:    cmd.Duration("grace"),
		Seed:     cmd.Uint64("seed"),
		Mix:      mix,
		Model:    cmd.String("model"),
		Paths: load.Paths{
			Quick:  cmd.String("path-quick"),
			Long:   cmd.String("path-long"),
			Order:  cmd.String("path-order"),
			Lookup: cmd.String("path-lookup"),
		},
		Verify:   cmd.Bool("verify"),
		Engines:  cmd.StringSlice("engines"),
		Services: cmd.StringSlice("services"),
		Platform: cmd.String("platform"),
	}, nil
}

// parseMix reads "class=weight,...".
func parseMix(s string) ([]load.Share, error) {
	var mix []load.Share
	for part := range strings.SplitSeq(s, ",") {
		name, weight, _ := strings.Cut(part, "=")
		class, err := ident.ParseClass(name)
		if err != nil {
			return nil, fmt.Errorf("--mix %q: %w", s, err)
		}
		w, err := strconv.ParseFloat(weight, 64)
		if err != nil || w < 0 {
			return nil, fmt.Errorf("--mix %q: weight %q of %s: want a number from 0 on", s, weight, name)
		}
		mix = append(mix, load.Share{Class: class, Weight: w})
	}
	return mix, nil
}

func writeLoadReport(cmd *cli.Command, report *load.Report) error {
	if path := cmd.String("report"); path != "" {
		f, err := os.Create(path)
		if err != nil {
			return usageError{fmt.Errorf("--report %q: %w", path, err)}
		}
		if err := errors.CombineErrors(report.WriteHTML(f), f.Close()); err != nil {
			return err
		}
	}
	out := cmd.Root().Writer
	if !cmd.Bool("json") {
		return report.WriteTable(out)
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(report)
}
