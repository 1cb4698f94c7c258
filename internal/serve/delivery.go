package serve

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// delivery is the answer on its way to the caller. A stream keeps the head of the
// first endpoint whose event is delivered.
type delivery struct {
	out Writer

	mu struct {
		sync.Mutex
		head    *Head
		offered []int // event numbers by offset
		sent    int
		started bool
		first   time.Time
	}
}

// offer notes the head and the number of an event that an attempt has read.
func (d *delivery) offer(h Head, offset, id int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mu.head == nil {
		d.mu.head = &h
	}
	if offset == len(d.mu.offered) {
		d.mu.offered = append(d.mu.offered, id)
	}
}

// complete notes the head of an answer whose end was read. A stream that a caller
// resumed after its last event has no event more.
func (d *delivery) complete(h Head) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mu.head == nil {
		d.mu.head = &h
	}
}

// close ends a stream that is whole; its head goes out where no event did.
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

// last returns the number of the last event delivered; zero before the first.
func (d *delivery) last() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mu.sent == 0 {
		return 0
	}
	return d.mu.offered[d.mu.sent-1]
}

// Tokens implements runner.Sink: the tokens are events.
func (d *delivery) Tokens(offset int, events []string) error {
	begin, err := d.advance(offset, len(events))
	if err != nil {
		return err
	}
	if begin != nil {
		if err := d.out.Begin(*begin); err != nil {
			return err
		}
	}
	for _, raw := range events {
		if err := d.out.Event(raw); err != nil {
			return err
		}
	}
	return nil
}

// advance notes that events go out; it returns the head where it goes out first.
func (d *delivery) advance(offset, n int) (*Head, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if offset != d.mu.sent || d.mu.head == nil || offset+n > len(d.mu.offered) {
		return nil, errors.Newf("event at offset %d after %d delivered", offset, d.mu.sent)
	}
	d.mu.sent += n
	if d.mu.started {
		return nil, nil
	}
	d.mu.started, d.mu.first = true, time.Now()
	return d.mu.head, nil
}

// Response implements runner.Sink.
func (d *delivery) Response(_ int, body any) error {
	answer, ok := body.(*Answer)
	if !ok {
		return errors.Newf("response body is a %T", body)
	}
	d.mu.Lock()
	d.mu.head, d.mu.started, d.mu.first = &answer.Head, true, time.Now()
	d.mu.Unlock()
	return d.out.Complete(answer.Head, answer.Body)
}

// begun tells whether the caller has a part of an answer.
func (d *delivery) begun() bool {
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

func (d *delivery) events() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.sent
}

// firstAfter returns the time from start to the beginning of the answer; zero where
// there was none.
func (d *delivery) firstAfter(start time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mu.first.IsZero() {
		return 0
	}
	return d.mu.first.Sub(start)
}
