// Command review2 plays the cases of the second review: it starts the project's nodes as separate
// processes, plays their platform, workers and clients on loopback addresses, and judges what these
// have seen.
//
//	review2 CASE RECORD
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could
// not run. With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(*world) error{
	"stale-duty":    staleDuty,
	"config-memory": configMemory,
}

// maxTime ends a case that hangs, before the limit of 120 seconds.
const maxTime = 112 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		return 2
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "review2:", err)
		return 2
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](w) }()
	select {
	case err = <-done:
	case <-interrupted:
		err = errors.New("interrupted")
	case <-time.After(maxTime):
		err = errors.New("the case took too long")
	}
	w.close()
	switch {
	case err == nil:
		w.say("HELD")
		return 0
	case errors.Is(err, errBroken):
		w.say("BROKEN")
		return 1
	default:
		w.say("COULD NOT RUN: %v", err)
		return 2
	}
}
