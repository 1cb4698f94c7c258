// Package logqueue writes log lines in the background, so that logging never blocks.
package logqueue

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// DefaultCapacity is the default number of lines that may be queued: several seconds of
// log output of a busy node.
const DefaultCapacity = 4096

// reportInterval is how often the number of dropped lines is logged, if any were dropped.
const reportInterval = 5 * time.Second

// Writer queues lines and writes them in the background. If the queue is full, it drops
// new lines and counts them.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    sync.WaitGroup
}

var _ io.Writer = (*Writer)(nil)

// New returns a running writer that queues at most the given number of lines. Call Stop
// to end its background goroutine.
func New(out io.Writer, lines int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, lines), stop: make(chan struct{})}
	w.done.Add(1)
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Stop writes the queued lines and stops the writer. If ctx ends first, it returns the
// error of ctx. Stop must be called only once.
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
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	var reported uint64
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-tick.C:
			if n := w.dropped.Load(); n != reported {
				w.write(fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log: Lines dropped.\",\"dropped\":%d}\n", n-reported))
				reported = n
			}
		case <-w.stop:
			w.writeQueued()
			return
		}
	}
}

func (w *Writer) writeQueued() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write ignores errors: a failure of the log itself cannot be logged.
func (w *Writer) write(line []byte) { _, _ = w.out.Write(line) }
