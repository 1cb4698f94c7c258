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

// loadCommand returns the command that generates load from a seed and reports the results.
func loadCommand() *cli.Command {
	loadEnv := func(name string) cli.ValueSourceChain {
		return cli.EnvVars("JUJUBESHED_LOAD_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
	}
	listFlag := func(name, usage string) cli.Flag {
		return &cli.StringSliceFlag{Name: name, Usage: usage, Sources: loadEnv(name)}
	}
	stringFlag := func(name, value, usage string) cli.Flag {
		return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: loadEnv(name)}
	}
	boolFlag := func(name string, value bool, usage string) cli.Flag {
		return &cli.BoolFlag{Name: name, Value: value, Usage: usage, Sources: loadEnv(name)}
	}
	durationFlag := func(name string, value time.Duration, usage string) cli.Flag {
		return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: loadEnv(name)}
	}
	return &cli.Command{
		Name:  "load",
		Usage: "send an open-loop mix of requests generated from a seed and report the results",
		Description: "The exit code is 0 if the load was sent. With --check it is 1 if a response was lost, duplicated or\n" +
			"wrong, or if the effect of an order does not match its response.",
		Flags: []cli.Flag{
			listFlag("entries", "addresses of entry hosts, `IP:PORT,...`"),
			listFlag("keys", "API keys of workspaces, the one with the most traffic first, `KEY,...`"),
			&cli.FloatFlag{Name: "rate", Value: 10, Usage: "requests per second", Sources: loadEnv("rate")},
			durationFlag("duration", 10*time.Second, "how long to send requests"),
			durationFlag("grace", time.Minute, "how long to wait for responses after the last request"),
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the generated requests", Sources: loadEnv("seed")},
			stringFlag("mix", "quick=0.55,lookup=0.25,order=0.10,long=0.10", "weights of the request classes"),
			stringFlag("model", "", "model name in chat requests"),
			stringFlag("path-quick", "/chat", "path of requests of class quick"),
			stringFlag("path-long", "/drafts", "path of requests of class long"),
			stringFlag("path-order", "/orders", "path of requests of class order"),
			stringFlag("path-lookup", "/catalogue/", "path of requests of class lookup; an ID is appended"),
			listFlag("engines", "control addresses of engine stand-ins, `IP:PORT,...`"),
			listFlag("services", "control addresses of all service stand-ins, `IP:PORT,...`; if given, the effects of the orders are checked"),
			stringFlag("platform", "", "control address of the platform stand-in, `IP:PORT`"),
			boolFlag("verify", true, "compare responses with those that the stand-ins must return"),
			boolFlag("json", false, "print the report as JSON"),
			stringFlag("report", "", "write an HTML report with plots to `FILE`"),
			boolFlag("check", false, "exit with code 1 if a response was lost, duplicated or wrong"),
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
		return errors.New("a response was lost, duplicated or wrong, or the effect of an order does not match its response")
	}
	return nil
}

func loadOptions(cmd *cli.Command) (load.Options, error) {
	for _, name := range []string{"entries", "keys"} {
		if len(cmd.StringSlice(name)) == 0 {
			return load.Options{}, fmt.Errorf("--%s is empty: want a comma-separated list", name)
		}
	}
	if cmd.Float("rate") <= 0 {
		return load.Options{}, fmt.Errorf("--rate %v: want a number above 0", cmd.Float("rate"))
	}
	if cmd.Duration("duration") <= 0 {
		return load.Options{}, fmt.Errorf("--duration %v: want a duration above 0", cmd.Duration("duration"))
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

// parseMix parses "class=weight,...".
func parseMix(s string) ([]load.Share, error) {
	var mix []load.Share
	for entry := range strings.SplitSeq(s, ",") {
		name, weight, _ := strings.Cut(entry, "=")
		class, err := ident.ParseClass(name)
		if err != nil {
			return nil, fmt.Errorf("--mix %q: %w", s, err)
		}
		w, err := strconv.ParseFloat(weight, 64)
		if err != nil || w < 0 {
			return nil, fmt.Errorf("--mix %q: weight %q of %s: want a number of at least 0", s, weight, name)
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
