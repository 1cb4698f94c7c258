// Package hangup receives SIGHUP while a process that handles it starts. The signal ends a process
// that has not asked for it, also while the packages of the program are initialised, which takes some
// milliseconds. This package is initialised among the first ones, as it imports few others. Before
// that, while the Go runtime starts, ignore.c ignores the signal: what has changed by then is read
// when the process reads its settings. Builds without cgo lack this.
package hangup

import (
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// Command is the subcommand of the program that handles SIGHUP.
const Command = "serve"

var received = receive(os.Args)

// receive asks for SIGHUP if the arguments of the process name the command that handles it.
func receive(args []string) chan os.Signal {
	c := make(chan os.Signal, 1)
	if len(args) > 1 && slices.Contains(args[1:], Command) {
		signal.Notify(c, syscall.SIGHUP)
	}
	return c
}

// Signals returns a channel that receives each SIGHUP since the start of the process; several may be
// received as one.
func Signals() <-chan os.Signal { return received }
