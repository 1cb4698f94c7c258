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
	id        Ticket
	req       Request
	ws        *workspace
	svc       *service
	offeredAt time.Time // time of the offer
	startBy   time.Time // refused at this time if still queued
	startTag  float64   // in virtual time
	queued    bool
	aged      bool // granted because of ageing
}

// flow is the queue of one workspace in one class of a service, a flow in the sense
// of start-time fair queueing.
type flow struct {
	ws        *workspace
	queue     []*ticket
	finishTag float64 // in virtual time, of the last request queued or granted
}

// lane is the queues and counters of one class of a service.
type lane struct {
	class           ident.Class
	virtualTime     float64 // start tag of the request granted last
	flows           map[ident.Workspace]*flow
	active          []*flow // flows with queued requests, ordered by workspace
	queued          int
	nextExpiry      time.Time // lower bound of the startBy times of all queued requests
	inflight        int
	aged            int     // number of inflight requests granted because of ageing
	meanServiceSecs float64 // exponentially weighted
}

// service is the queues of one service and its capacity on this node.
type service struct {
	name       ident.Service
	capacity   int
	inflight   int
	queued     int
	lanes      [numClasses]*lane
	inflightBy map[*workspace]int // has no zero entries
}

func (c *Controller) newService(name ident.Service) *service {
	s := &service{name: name, capacity: c.opts.Capacity, inflightBy: make(map[*workspace]int)}
	for _, class := range ident.Classes {
		s.lanes[class] = &lane{
			class:           class,
			flows:           make(map[ident.Workspace]*flow),
			meanServiceSecs: c.opts.Classes[class].ServiceTime.Seconds(),
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

// assignTags sets a ticket's start tag and advances the flow's finish tag. The cost of
// a request is one divided by the workspace's weight.
func (l *lane) assignTags(f *flow, t *ticket) {
	t.startTag = max(l.virtualTime, f.finishTag)
	f.finishTag = t.startTag + 1/f.ws.weight
}

// push adds a ticket to its queue.
func (s *service) push(t *ticket) {
	l := s.lanes[t.req.Class]
	f := l.flow(t.ws)
	l.assignTags(f, t)
	t.queued = true
	f.queue = append(f.queue, t)
	l.queued++
	s.queued++
	if l.queued == 1 || t.startBy.Before(l.nextExpiry) {
		l.nextExpiry = t.startBy
	}
	if len(f.queue) == 1 {
		i, _ := slices.BinarySearchFunc(l.active, f, compareFlows)
		l.active = slices.Insert(l.active, i, f)
	}
}

// withdraw removes a queued ticket that won't run. The start tags of the tickets behind
// it in the flow decrease by its cost, so that the workspace is not charged for it.
func (s *service) withdraw(t *ticket) {
	f := s.lanes[t.req.Class].flow(t.ws)
	cost := 1 / f.ws.weight
	for _, o := range f.queue[slices.Index(f.queue, t)+1:] {
		o.startTag -= cost
	}
	f.finishTag -= cost
	s.dequeue(t)
}

// dequeue removes a ticket from its queue and leaves the tags unchanged.
func (s *service) dequeue(t *ticket) {
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

// hasSlot reports whether a slot of the service is free for the workspace. The last
// free slots are reserved for orders and for workspaces that use less than an even
// share of the slots, unless only one workspace is active.
func (c *Controller) hasSlot(s *service, w *workspace, class ident.Class) bool {
	free := s.capacity - s.inflight
	if free <= 0 || class == ident.ClassOrder || free > int(c.opts.ReserveShare*float64(s.capacity)) {
		return free > 0
	}
	active := len(s.inflightBy)
	if s.inflightBy[w] == 0 {
		active++
	}
	return active == 1 || s.inflightBy[w]*active < s.capacity
}

// eligibleHead returns the queued ticket with the lowest start tag in the lane whose
// workspace has room and a slot, or nil.
func (c *Controller) eligibleHead(s *service, l *lane) *ticket {
	var best *ticket
	for _, f := range l.active {
		if t := f.queue[0]; (best == nil || t.startTag < best.startTag) &&
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
		if t := c.eligibleHead(s, l); t != nil {
			return t
		}
	}
	return nil
}

// nextAged returns an aged ticket to grant ahead of queued requests of higher classes,
// or nil. The lowest class comes first.
func (c *Controller) nextAged(now time.Time, s *service) *ticket {
	for i := len(ident.Classes) - 1; i > 0; i-- {
		l := s.lanes[ident.Classes[i]]
		after := c.opts.Classes[l.class].AgeAfter
		if after == 0 || l.queued == 0 || l.aged >= c.agedSlots(s) || s.queuedAbove(i) == 0 {
			continue
		}
		if t := c.eligibleHead(s, l); t != nil && now.Sub(t.offeredAt) >= after {
			return t
		}
	}
	return nil
}

// agedSlots returns how many slots of a service the aged requests of one class may use.
func (c *Controller) agedSlots(s *service) int {
	return atLeastOne(c.opts.AgedShare * float64(s.capacity))
}

// laneHasRoom reports whether the class may use one more slot of the service.
func (c *Controller) laneHasRoom(s *service, l *lane) bool {
	o := c.opts.Classes[l.class]
	if l.inflight >= atLeastOne(o.CapacityShare*float64(s.capacity)) {
		return false
	}
	return o.Headroom == 0 || s.capacity-s.inflight > s.headroom(l.class, o.Headroom)
}

// headroom returns how many slots to leave free for the higher classes. It follows the
// square-root staffing rule, as the fluctuation of their requests in flight grows with
// the square root of their number.
func (s *service) headroom(class ident.Class, factor float64) int {
	n := 0
	for _, higher := range ident.Classes[:rank(class)] {
		n += s.lanes[higher].inflight
	}
	return int(factor * math.Sqrt(float64(n)))
}

// queuedAbove counts the queued requests of the classes of higher priority than rank.
func (s *service) queuedAbove(rank int) int {
	n := 0
	for _, class := range ident.Classes[:rank] {
		n += s.lanes[class].queued
	}
	return n
}

// victim returns the queued ticket to shed in favour of a request of class: the newest
// ticket of the longest queue, relative to weight, in the lowest class below class that
// has one. It returns nil if there is none.
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
