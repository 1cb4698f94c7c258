package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/jujubeshed/jujubeshed/internal/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run both example deployments in this process and show the results of a mix of requests",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the generated requests", Sources: env("seed")},
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "debug, info, warn or error", Sources: env("log-level")},
			logFormatFlag(),
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			log, err := newLogger(cmd)
			if err != nil {
				return err
			}
			return demo.Run(ctx, cmd.Root().Writer, demo.Options{Seed: cmd.Uint64("seed"), Log: log})
		},
	}
}
