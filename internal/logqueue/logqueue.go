// Package logqueue writes log lines without ever blocking those who log.
package logqueue

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// DefaultLines is the number of lines that may wait: some seconds of a busy node.
const DefaultLines = 4096

// reportEvery is how often the number of dropped lines is written, if there were any.
const reportEvery = 5 * time.Second

// Writer queues lines and writes them in the background. Where the queue is full
// it drops them and counts.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    sync.WaitGroup
}

var _ io.Writer = (*Writer)(nil)

// New returns a writer that has begun to write.
func New(out io.Writer, lines int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, lines), stop: make(chan struct{})}
	w.done.Add(1)
	go w.run()
	return w
}

// Write implements io.Writer. It never fails and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Stop writes what waits, unless ctx ends first.
func (w *Writer) Stop(ctx context.Context) error {
	close(w.stop)
	done := make(chan struct{})
	go func() {
		w.done.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *Writer) run() {
	defer w.done.Done()
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	var told uint64
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-tick.C:
			if n := w.dropped.Load(); n != told {
				w.write(fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log: Lines dropped.\",\"dropped\":%d}\n", n-told))
				told = n
			}
		case <-w.stop:
			w.drain()
			return
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write passes over errors: there is nowhere to report a broken log.
func (w *Writer) write(line []byte) { _, _ = w.out.Write(line) }
