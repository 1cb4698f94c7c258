package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jujubeshed/jujubeshed/internal/experiment"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/load"
)

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "measure a complete deployment in this process under one kind of fault",
		ArgsUsage: "NAME...",
		Description: "Without a name, the experiments are listed. The exit code is 1 if a response was lost, incomplete,\n" +
			"duplicated or wrong, or if the effect of an order does not match its response.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the generated load", Sources: env("seed")},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "how long to send requests", Sources: env("duration")},
			&cli.FloatFlag{Name: "rate", Value: 20, Usage: "requests per second", Sources: env("rate")},
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "debug, info, warn or error", Sources: env("log-level")},
			logFormatFlag(),
			jsonFlag(),
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if !cmd.Args().Present() {
				return listExperiments(cmd.Root().Writer)
			}
			for _, name := range cmd.Args().Slice() {
				if err := runExperiment(ctx, cmd, name); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func listExperiments(w io.Writer) error {
	for _, e := range experiment.All() {
		fmt.Fprintf(w, "%-12s %s\n", e.Name, e.Usage)
	}
	return nil
}

func runExperiment(ctx context.Context, cmd *cli.Command, name string) error {
	log, err := newLogger(cmd)
	if err != nil {
		return err
	}
	e, err := experiment.ByName(name)
	if err != nil {
		return usageError{err}
	}
	report, err := experiment.Run(ctx, cmd.Root().Writer, e, experiment.Options{
		Seed: cmd.Uint64("seed"), Duration: cmd.Duration("duration"), Rate: cmd.Float("rate"), Log: log,
	})
	if err != nil {
		return err
	}
	if err := printReport(cmd, report); err != nil {
		return err
	}
	for name, n := range invariant.Counts() {
		fmt.Fprintf(cmd.Root().Writer, "invariant %s violated %d times\n", name, n)
	}
	if !report.Good() {
		return fmt.Errorf("experiment %q: a response was lost, incomplete, duplicated or wrong, or the effect of an order does not match its response", name)
	}
	return nil
}

func printReport(cmd *cli.Command, report *load.Report) error {
	if cmd.Bool("json") {
		return writeJSON(cmd.Root().Writer, report)
	}
	return report.WriteTable(cmd.Root().Writer)
}
