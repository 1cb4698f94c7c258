package serve

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// delivery tracks the response that is sent to the caller. A stream has the head of the
// first endpoint from which an event was read, also if another endpoint resumes it.
type delivery struct {
	out Writer

	mu struct {
		sync.Mutex
		head      *Head
		eventIDs  []int // event IDs by offset
		sent      int   // number of events sent
		started   bool
		firstSent time.Time
		writeErr  error // of a write of a stream to the caller
	}
}

// recordEvent records the head and the ID of an event that an attempt has read.
func (d *delivery) recordEvent(h Head, offset, id int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mu.head == nil {
		d.mu.head = &h
	}
	if offset == len(d.mu.eventIDs) {
		d.mu.eventIDs = append(d.mu.eventIDs, id)
	}
}

// recordHead records the head of a stream whose end was read. A stream that the caller
// resumed after its last event has no further events that would record it.
func (d *delivery) recordHead(h Head) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mu.head == nil {
		d.mu.head = &h
	}
}

// close ends a complete stream; it sends the head if the stream had no events.
func (d *delivery) close() error {
	d.mu.Lock()
	head, started := d.mu.head, d.mu.started
	d.mu.started = true
	d.mu.Unlock()
	if started || head == nil {
		return nil
	}
	return d.out.Begin(*head)
}

// lastSentID returns the ID of the last event sent; zero before the first.
func (d *delivery) lastSentID() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mu.sent == 0 {
		return 0
	}
	return d.mu.eventIDs[d.mu.sent-1]
}

// Tokens implements runner.Sink. Each token is an event.
func (d *delivery) Tokens(offset int, events []string) error {
	begin, err := d.advance(offset, len(events))
	if err != nil {
		return err
	}
	if begin != nil {
		err = d.out.Begin(*begin)
	}
	for _, raw := range events {
		if err == nil {
			err = d.out.Event(raw)
		}
	}
	if err != nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.mu.writeErr = err
	}
	return err
}

// writeFailed reports whether a write of a stream to the caller has failed.
func (d *delivery) writeFailed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.writeErr != nil
}

// advance marks the next n events as sent. It returns the head if it has to be sent
// before them.
func (d *delivery) advance(offset, n int) (*Head, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if offset != d.mu.sent || d.mu.head == nil || offset+n > len(d.mu.eventIDs) {
		return nil, errors.Newf("event at offset %d out of order: %d events were sent", offset, d.mu.sent)
	}
	d.mu.sent += n
	if d.mu.started {
		return nil, nil
	}
	d.mu.started, d.mu.firstSent = true, time.Now()
	return d.mu.head, nil
}

// Response implements runner.Sink.
func (d *delivery) Response(_ int, body any) error {
	answer, ok := body.(*Answer)
	if !ok {
		return errors.Newf("response body has unexpected type %T", body)
	}
	d.mu.Lock()
	d.mu.head, d.mu.started, d.mu.firstSent = &answer.Head, true, time.Now()
	d.mu.Unlock()
	return d.out.Complete(answer.Head, answer.Body)
}

// hasStarted reports whether any part of the response was sent.
func (d *delivery) hasStarted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.started
}

func (d *delivery) status() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.mu.started {
		return 0
	}
	return d.mu.head.Status
}

func (d *delivery) eventCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.sent
}

// timeToFirstByte returns the time from start to the beginning of the response; zero if
// none was sent.
func (d *delivery) timeToFirstByte(start time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mu.firstSent.IsZero() {
		return 0
	}
	return d.mu.firstSent.Sub(start)
}
