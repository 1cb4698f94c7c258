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

// outcome of a stream.
type outcome struct {
	offered, refused, done, late int
	waits                        []time.Duration // of those granted
	toAnswer                     time.Duration   // the longest time from offer to refusal
}

func (o *outcome) p95() time.Duration {
	if len(o.waits) == 0 {
		return 0
	}
	slices.Sort(o.waits)
	return o.waits[len(o.waits)*95/100]
}

type timed struct {
	at time.Time
	f  func()
}

// world drives one controller in virtual time; service times are exponential.
type world struct {
	c       *Controller
	rng     *rand.Rand
	now     time.Time
	todo    []timed // by time, then by order of scheduling
	streams []stream
	out     []*outcome
	queued  map[Ticket]func(Event)
	inTime  time.Duration // sum of the service times that ended by the deadline
}

func newWorld(c *Controller, seed uint64, streams ...stream) *world {
	w := &world{c: c, rng: rand.New(rand.NewPCG(seed, 5)), now: epoch, streams: streams, queued: map[Ticket]func(Event){}}
	for i := range streams {
		w.out = append(w.out, &outcome{})
		w.arrive(i)
	}
	return w
}

func (w *world) after(d time.Duration, f func()) {
	at := w.now.Add(d)
	i := sort.Search(len(w.todo), func(i int) bool { return w.todo[i].at.After(at) })
	w.todo = slices.Insert(w.todo, i, timed{at, f})
}

func (w *world) exp(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

func (w *world) arrive(i int) {
	s := w.streams[i]
	w.after(w.exp(time.Duration(float64(time.Second)/s.perSec)), func() {
		w.offer(s, w.out[i])
		w.arrive(i)
	})
}

func (w *world) offer(s stream, o *outcome) {
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
			o.toAnswer = max(o.toAnswer, w.now.Sub(at))
		}
	}
	w.tick()
}

func (w *world) serve(s stream, o *outcome, at time.Time, t Ticket) {
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

func (w *world) tick() {
	for _, e := range w.c.Tick(w.now) {
		f := w.queued[e.Ticket]
		delete(w.queued, e.Ticket)
		f(e)
	}
	if at, ok := w.c.Wake(w.now); ok && (len(w.todo) == 0 || at.Before(w.todo[0].at)) {
		w.after(at.Sub(w.now), w.tick)
	}
}

func (w *world) run(d time.Duration) *world {
	for end := epoch.Add(d); w.now.Before(end); {
		e := w.todo[0]
		w.todo, w.now = w.todo[1:], e.at
		e.f()
	}
	return w
}

// naive is the outcome of a node that queues everything in order of arrival.
type naive struct {
	quick  outcome
	inTime float64 // work that ended by its deadline, of the capacity
}

func fifo(seed uint64, length time.Duration, streams []stream) naive {
	w := &world{rng: rand.New(rand.NewPCG(seed, 5)), now: epoch}
	var n naive
	free := make([]time.Time, slots) // when each slot ends its work
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
