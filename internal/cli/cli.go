// Package cli is the command line of jujubeshed.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"
)

// Exit codes of the program.
const (
	ExitOK      = 0
	ExitFailed  = 1 // the command ran and what it reports is a failure
	ExitUsage   = 2 // wrong flags, settings or files
	ExitOffline = 3 // the platform or a node could not be reached
)

// env returns the source of a flag's value from its environment variable, which is
// the flag's name in capitals behind a prefix.
func env(flag string) cli.ValueSourceChain {
	return cli.EnvVars("JUJUBESHED_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

// usageError marks an error of flags, settings or files.
type usageError struct{ error }

// Unwrap returns the cause.
func (e usageError) Unwrap() error { return e.error }

// offlineError marks that the platform or a node could not be reached.
type offlineError struct{ error }

// Unwrap returns the cause.
func (e offlineError) Unwrap() error { return e.error }

// Run executes the command line and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	cmd := &cli.Command{
		Name:      "jujubeshed",
		Usage:     "serves model and web traffic on reclaimable hosts",
		Writer:    stdout,
		ErrWriter: stderr,
		Commands:  commands(),
		ExitErrHandler: func(context.Context, *cli.Command, error) {
		},
	}
	err := cmd.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "jujubeshed:", err)
	var usage usageError
	var offline offlineError
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &offline):
		return ExitOffline
	default:
		return ExitFailed
	}
}

// commands lists the subcommands. Each lives in a file of its own.
func commands() []*cli.Command {
	return []*cli.Command{
		demoCommand(),
		nodeCommand(),
		serveCommand(),
		checkCommand(),
		applyCommand(),
		statusCommand(),
		movesCommand(),
		ordersCommand(),
		standinCommand(),
		loadCommand(),
		experimentCommand(),
	}
}
