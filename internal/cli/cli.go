// Package cli implements the command line of jujubeshed.
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
	ExitOK          = 0
	ExitFailed      = 1 // the command failed, or its report contains a failure
	ExitUsage       = 2 // invalid flags, settings or files
	ExitUnreachable = 3 // the platform or a node could not be reached
)

// env returns the source that reads a flag from its environment variable. For the flag
// drain-delay this is JUJUBESHED_DRAIN_DELAY.
func env(flag string) cli.ValueSourceChain {
	return cli.EnvVars("JUJUBESHED_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

// usageError marks an error caused by invalid flags, settings or files.
type usageError struct{ error }

// Unwrap returns the cause.
func (e usageError) Unwrap() error { return e.error }

// unreachableError marks an error caused by an unreachable platform or node.
type unreachableError struct{ error }

// Unwrap returns the cause.
func (e unreachableError) Unwrap() error { return e.error }

// Run executes the command line and returns the exit code. It writes errors to stderr.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	cmd := &cli.Command{
		Name:      "jujubeshed",
		Usage:     "serve model and web traffic on reclaimable hosts",
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
	var unreachable unreachableError
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &unreachable):
		return ExitUnreachable
	default:
		return ExitFailed
	}
}

// commands returns the subcommands.
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
