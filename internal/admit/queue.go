package admit

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// ticket is a request that is queued or in flight.
type ticket struct {
	id      Ticket
	req     Request
	ws      *workspace
	svc     *service
	at      time.Time // of the offer
	startBy time.Time // refused at this time where still queued
	start   float64   // start tag
	queued  bool
	aged    bool // granted for its age
}

// flow is the queue of one workspace in one class of a service.
type flow struct {
	ws     *workspace
	queue  []*ticket
	finish float64 // tag of the last request queued or granted
}

// lane is one class of a service.
type lane struct {
	class    ident.Class
	virtual  float64 // virtual time: the start tag granted last
	flows    map[ident.Workspace]*flow
	active   []*flow // with queued requests, ordered by workspace
	queued   int
	expiry   time.Time // no queued request has an earlier latest start
	inflight int
	aged     int     // of inflight, granted for their age
	mean     float64 // service time in seconds, smoothed
}

// service holds the queues of one service, and its capacity on this node.
type service struct {
	name     ident.Service
	capacity int
	inflight int
	queued   int
	lanes    [numClasses]*lane
	use      map[*workspace]int // requests in flight; no zero entries
}

func (c *Controller) newService(name ident.Service) *service {
	s := &service{name: name, capacity: c.opts.Capacity, use: make(map[*workspace]int)}
	for _, class := range ident.Classes {
		s.lanes[class] = &lane{
			class: class,
			flows: make(map[ident.Workspace]*flow),
			mean:  c.opts.Classes[class].ServiceTime.Seconds(),
		}
	}
	return s
}

func (l *lane) flow(w *workspace) *flow {
	f := l.flows[w.name]
	if f == nil {
		f = &flow{ws: w}
		l.flows[w.name] = f
	}
	return f
}

// tag gives a ticket its start tag and moves the flow's finish tag on. Each
// request costs one unit over the workspace's weight.
func (l *lane) tag(f *flow, t *ticket) {
	t.start = max(l.virtual, f.finish)
	f.finish = t.start + 1/f.ws.weight
}

// push queues a ticket.
func (s *service) push(t *ticket) {
	l := s.lanes[t.req.Class]
	f := l.flow(t.ws)
	l.tag(f, t)
	t.queued = true
	f.queue = append(f.queue, t)
	l.queued++
	s.queued++
	if l.queued == 1 || t.startBy.Before(l.expiry) {
		l.expiry = t.startBy
	}
	if len(f.queue) == 1 {
		i, _ := slices.BinarySearchFunc(l.active, f, compareFlows)
		l.active = slices.Insert(l.active, i, f)
	}
}

// drop removes a ticket that won't run. Those behind it in the flow move up, and
// the workspace is not charged for it.
func (s *service) drop(t *ticket) {
	f := s.lanes[t.req.Class].flow(t.ws)
	cost := 1 / f.ws.weight
	for _, o := range f.queue[slices.Index(f.queue, t)+1:] {
		o.start -= cost
	}
	f.finish -= cost
	s.take(t)
}

// take removes a ticket from its queue.
func (s *service) take(t *ticket) {
	l := s.lanes[t.req.Class]
	f := l.flow(t.ws)
	i := slices.Index(f.queue, t)
	f.queue = slices.Delete(f.queue, i, i+1)
	t.queued = false
	l.queued--
	s.queued--
	if len(f.queue) == 0 {
		j, _ := slices.BinarySearchFunc(l.active, f, compareFlows)
		l.active = slices.Delete(l.active, j, j+1)
	}
}

func compareFlows(a, b *flow) int {
	return strings.Compare(string(a.ws.name), string(b.ws.name))
}

// hasSlot tells whether a slot of the service is free for the workspace. The last
// ones are kept for orders and for workspaces with less than an even share in
// flight, unless one workspace is alone.
func (c *Controller) hasSlot(s *service, w *workspace, class ident.Class) bool {
	free := s.capacity - s.inflight
	if free <= 0 || class == ident.ClassOrder || free > int(c.opts.ReserveShare*float64(s.capacity)) {
		return free > 0
	}
	active := len(s.use)
	if s.use[w] == 0 {
		active++
	}
	return active == 1 || s.use[w]*active < s.capacity
}

// head returns the queued ticket of the lane with the least start tag whose
// workspace has room, or nil.
func (c *Controller) head(s *service, l *lane) *ticket {
	var best *ticket
	for _, f := range l.active {
		if t := f.queue[0]; (best == nil || t.start < best.start) &&
			c.hasRoom(f.ws, l.class) && c.hasSlot(s, f.ws, l.class) {
			best = t
		}
	}
	return best
}

// next returns the queued ticket of s to grant, or nil.
func (c *Controller) next(now time.Time, s *service) *ticket {
	if s.queued == 0 || s.inflight >= s.capacity {
		return nil
	}
	if t := c.nextAged(now, s); t != nil {
		t.aged = true
		return t
	}
	for _, class := range ident.Classes {
		l := s.lanes[class]
		if l.queued == 0 || !c.laneHasRoom(s, l) {
			continue
		}
		if t := c.head(s, l); t != nil {
			return t
		}
	}
	return nil
}

// nextAged returns a ticket that has waited for so long that it goes before the
// higher classes that wait, lowest class first.
func (c *Controller) nextAged(now time.Time, s *service) *ticket {
	for i := len(ident.Classes) - 1; i > 0; i-- {
		l := s.lanes[ident.Classes[i]]
		after := c.opts.Classes[l.class].AgeAfter
		if after == 0 || l.queued == 0 || l.aged >= c.agedSlots(s) || s.queuedAbove(i) == 0 {
			continue
		}
		if t := c.head(s, l); t != nil && now.Sub(t.at) >= after {
			return t
		}
	}
	return nil
}

// agedSlots returns the slots of a service for aged requests of one class.
func (c *Controller) agedSlots(s *service) int {
	return atLeastOne(c.opts.AgedShare * float64(s.capacity))
}

// laneHasRoom tells whether the class may use one more slot of the service.
func (c *Controller) laneHasRoom(s *service, l *lane) bool {
	o := c.opts.Classes[l.class]
	if l.inflight >= atLeastOne(o.CapacityShare*float64(s.capacity)) {
		return false
	}
	return o.Headroom == 0 || s.capacity-s.inflight > s.headroom(l.class, o.Headroom)
}

// headroom returns the free slots to leave to the higher classes: by the
// square-root staffing rule, as their requests in flight vary like that.
func (s *service) headroom(class ident.Class, factor float64) int {
	n := 0
	for _, higher := range ident.Classes[:rank(class)] {
		n += s.lanes[higher].inflight
	}
	return int(factor * math.Sqrt(float64(n)))
}

// queuedAbove counts the queued requests of the classes before the rank-th.
func (s *service) queuedAbove(rank int) int {
	n := 0
	for _, class := range ident.Classes[:rank] {
		n += s.lanes[class].queued
	}
	return n
}

// victim returns the queued ticket to shed for a request of class: the newest of
// the longest queue in the lowest class, where that is below class.
func (s *service) victim(class ident.Class) *ticket {
	for i := len(ident.Classes) - 1; i > rank(class); i-- {
		var longest *flow
		for _, f := range s.lanes[ident.Classes[i]].active {
			if longest == nil || float64(len(f.queue))/f.ws.weight > float64(len(longest.queue))/longest.ws.weight {
				longest = f
			}
		}
		if longest != nil {
			return longest.queue[len(longest.queue)-1]
		}
	}
	return nil
}

func rank(class ident.Class) int {
	return slices.Index(ident.Classes, class)
}
