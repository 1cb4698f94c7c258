package admit

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// stream is a Poisson stream of requests.
type stream struct {
	ws       ident.Workspace
	class    ident.Class
	perSec   float64
	service  time.Duration
	deadline time.Duration
}

// outcome is the result of a stream.
type outcome struct {
	offered, refused, done, late int
	waits                        []time.Duration // of the granted requests
	maxRefusalDelay              time.Duration   // longest time from offer to refusal
}

func (o *outcome) p95() time.Duration {
	if len(o.waits) == 0 {
		return 0
	}
	slices.Sort(o.waits)
	return o.waits[len(o.waits)*95/100]
}

type timedEvent struct {
	at time.Time
	f  func()
}

// simulation runs one controller in virtual time with exponential service times.
type simulation struct {
	c        *Controller
	rng      *rand.Rand
	now      time.Time
	pending  []timedEvent // ordered by time, then by order of scheduling
	streams  []stream
	outcomes []*outcome
	queued   map[Ticket]func(Event)
	inTime   time.Duration // total service time of the requests that ended by their deadline
}

func newSimulation(c *Controller, seed uint64, streams ...stream) *simulation {
	w := &simulation{c: c, rng: rand.New(rand.NewPCG(seed, 5)), now: epoch, streams: streams, queued: map[Ticket]func(Event){}}
	for i := range streams {
		w.outcomes = append(w.outcomes, &outcome{})
		w.arrive(i)
	}
	return w
}

func (w *simulation) after(d time.Duration, f func()) {
	at := w.now.Add(d)
	i := sort.Search(len(w.pending), func(i int) bool { return w.pending[i].at.After(at) })
	w.pending = slices.Insert(w.pending, i, timedEvent{at, f})
}

func (w *simulation) exp(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

func (w *simulation) arrive(i int) {
	s := w.streams[i]
	w.after(w.exp(time.Duration(float64(time.Second)/s.perSec)), func() {
		w.offer(s, w.outcomes[i])
		w.arrive(i)
	})
}

func (w *simulation) offer(s stream, o *outcome) {
	o.offered++
	at := w.now
	d := w.c.Offer(w.now, Request{Workspace: s.ws, Class: s.class, Service: "s", Deadline: at.Add(s.deadline)})
	switch d.Kind {
	case Refused:
		o.refused++
	case Admitted:
		w.serve(s, o, at, d.Ticket)
	case Queued:
		w.queued[d.Ticket] = func(e Event) {
			if e.Err == nil {
				w.serve(s, o, at, e.Ticket)
				return
			}
			o.refused++
			o.maxRefusalDelay = max(o.maxRefusalDelay, w.now.Sub(at))
		}
	}
	w.tick()
}

func (w *simulation) serve(s stream, o *outcome, at time.Time, t Ticket) {
	o.waits = append(o.waits, w.now.Sub(at))
	d := w.exp(s.service)
	w.after(d, func() {
		o.done++
		if w.now.Sub(at) > s.deadline {
			o.late++
		} else {
			w.inTime += d
		}
		w.c.Done(w.now, t, d)
		w.tick()
	})
}

func (w *simulation) tick() {
	for _, e := range w.c.Tick(w.now) {
		f := w.queued[e.Ticket]
		delete(w.queued, e.Ticket)
		f(e)
	}
	if at, ok := w.c.Wake(w.now); ok && (len(w.pending) == 0 || at.Before(w.pending[0].at)) {
		w.after(at.Sub(w.now), w.tick)
	}
}

func (w *simulation) run(d time.Duration) *simulation {
	for end := epoch.Add(d); w.now.Before(end); {
		e := w.pending[0]
		w.pending, w.now = w.pending[1:], e.at
		e.f()
	}
	return w
}

// fifoOutcome is the outcome of a node that queues all requests in order of arrival.
type fifoOutcome struct {
	quick  outcome
	inTime float64 // service time of the requests that ended by their deadline, as a fraction of the capacity
}

func fifo(seed uint64, length time.Duration, streams []stream) fifoOutcome {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 5)), now: epoch}
	var n fifoOutcome
	free := make([]time.Time, slots) // when each slot becomes free
	for i := range free {
		free[i] = epoch
	}
	var arrive func(s stream)
	arrive = func(s stream) {
		w.after(w.exp(time.Duration(float64(time.Second)/s.perSec)), func() {
			slot := slices.IndexFunc(free, func(t time.Time) bool { return t.Equal(slices.MinFunc(free, time.Time.Compare)) })
			start, d := later(free[slot], w.now), w.exp(s.service)
			free[slot] = start.Add(d)
			if s.class == ident.ClassQuick {
				n.quick.waits = append(n.quick.waits, start.Sub(w.now))
			}
			if end := start.Add(d); !end.After(w.now.Add(s.deadline)) && end.Before(epoch.Add(length)) {
				n.inTime += d.Seconds() / (slots * length.Seconds())
			}
			arrive(s)
		})
	}
	for _, s := range streams {
		arrive(s)
	}
	w.run(length)
	return n
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
