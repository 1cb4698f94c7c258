// Command standins-3 plays the cases of the third review: it starts the nodes as processes of their own,
// and stands in for the platform, its operator, workers and clients.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

var cases = map[string]func(out io.Writer, trouble bool) (bool, error){
	"drill": caseDrill,
	"keys":  caseKeys,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-3 CASE RECORD")
		os.Exit(unable)
	}
	stopAfter(maxTime)
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	isBroken, err := cases[os.Args[1]](out, os.Getenv("TROUBLE") != "0")
	status, text := held, "the rule held"
	switch {
	case err != nil:
		status, text = unable, "the case could not run: "+err.Error()
	case isBroken:
		status, text = broken, "the rule was broken"
	}
	fmt.Fprintln(out, text)
	_ = out.Close()
	fmt.Println(text)
	os.Exit(status)
}

// maxTime is how long a case may run.
const maxTime = 110 * time.Second

// stopAfter ends the processes of the run and the run itself after some time, or when it gets a signal.
func stopAfter(d time.Duration) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(d):
		}
		if r := current.Load(); r != nil {
			r.end()
		}
		fmt.Println("the case was stopped")
		os.Exit(unable)
	}()
}
