package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Controller admits, queues and refuses requests of one node. It is not safe for
// concurrent use; package gate wraps it for that.
type Controller struct {
	opts       Options
	configs    map[ident.Workspace]config.WorkspaceConfig
	workspaces map[ident.Workspace]*workspace
	services   []*service // ordered by name
	tickets    map[Ticket]*ticket
	lastTicket Ticket
	peak       peak
	divisor    int // number of nodes that share the limits
	events     []Event
	stats      Stats
}

// New returns a Controller for a single live node and no configured workspaces.
func New(opts Options) *Controller {
	return &Controller{
		opts:       opts.withDefaults(),
		configs:    make(map[ident.Workspace]config.WorkspaceConfig),
		workspaces: make(map[ident.Workspace]*workspace),
		tickets:    make(map[Ticket]*ticket),
		divisor:    1,
	}
}

// SetCapacity sets how many requests of a service this node may have in flight.
// Requests in flight beyond a reduced capacity continue.
func (c *Controller) SetCapacity(now time.Time, name ident.Service, slots int) {
	c.service(name).capacity = max(slots, 0)
	c.grant(now)
}

func (c *Controller) service(name ident.Service) *service {
	i, ok := slices.BinarySearchFunc(c.services, name, func(s *service, n ident.Service) int {
		return cmp.Compare(s.name, n)
	})
	if !ok {
		c.services = slices.Insert(c.services, i, c.newService(name))
	}
	return c.services[i]
}

// Offer decides on a request. The caller ends an admitted request with Done or Cancel.
// The wait of a queued request ends with an Event returned by Tick.
func (c *Controller) Offer(now time.Time, r Request) Decision {
	if rank(r.Class) < 0 {
		return Decision{Err: verdict.New(verdict.NotRun, verdict.CodeBadRequest, "class %d is not valid", r.Class)}
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return c.refuse(r, verdict.CodeDeadline, 0, "deadline has passed")
	}
	w, s := c.workspace(now, r.Workspace), c.service(r.Service)
	if d := w.rateWait(now); d > 0 {
		return c.refuse(r, verdict.CodeLimited, d, "workspace %q exceeds its rate limit", r.Workspace)
	}
	t := &ticket{req: r, ws: w, svc: s, offeredAt: now, startBy: c.startBy(now, s, r)}
	wait := c.estimateWait(s, w, r.Class)
	if late := now.Add(wait).Sub(t.startBy); late > 0 {
		return c.refuseLate(r, s, late)
	}
	if wait > 0 && s.queued >= c.opts.MaxQueued && !c.shed(s, r.Class) {
		return c.refuse(r, verdict.CodeOverloaded, wait, "queue of service %q is full", r.Service)
	}
	w.bucket.AllowN(now, 1)
	c.lastTicket++
	t.id = c.lastTicket
	c.tickets[t.id] = t
	s.push(t)
	c.grantIn(now, s)
	if !t.queued {
		c.events = slices.DeleteFunc(c.events, func(e Event) bool { return e.Ticket == t.id })
		return Decision{Kind: Admitted, Ticket: t.id}
	}
	c.stats.Queued[r.Class]++
	return Decision{Kind: Queued, Ticket: t.id}
}

// startBy returns the latest time for a request to start: within the class's maximum
// wait, and early enough to end by the deadline. It is never before now.
func (c *Controller) startBy(now time.Time, s *service, r Request) time.Time {
	by := now.Add(maxWaitEstimate)
	if maxWait := c.opts.Classes[r.Class].MaxWait; maxWait > 0 {
		by = now.Add(maxWait)
	}
	if !r.Deadline.IsZero() {
		by = earliest(by, r.Deadline.Add(-time.Duration(s.lanes[r.Class].meanServiceSecs*float64(time.Second))))
	}
	if by.Before(now) {
		return now
	}
	return by
}

// refuseLate refuses a request that would start later than its latest start time. The
// excess is late.
func (c *Controller) refuseLate(r Request, s *service, late time.Duration) Decision {
	code := verdict.CodeOverloaded
	if s.capacity == 0 {
		code, late = verdict.CodeUnavailable, time.Second
	}
	return c.refuse(r, code, late, "service %q can't start a request of class %s in time", r.Service, r.Class)
}

// refuse returns a refusal. The retry delay is spread, so that callers that were
// refused together don't retry together.
func (c *Controller) refuse(r Request, code verdict.Code, after time.Duration, format string, args ...any) Decision {
	c.stats.Refused[r.Class]++
	return Decision{Err: verdict.New(verdict.NotRun, code, format, args...).After(c.spread(after))}
}

// spread returns d, or the minimum retry delay if that is longer, increased by up to
// one half. The increase follows a low-discrepancy sequence.
func (c *Controller) spread(d time.Duration) time.Duration {
	n := uint64(0)
	for _, r := range c.stats.Refused {
		n += r
	}
	_, fraction := math.Modf(float64(n%1024) * math.Phi)
	return time.Duration(float64(max(d, c.opts.MinRetryAfter)) * (1 + fraction/2))
}

// shed refuses a queued request of a lower class to make room for one of class. It
// reports whether there was one.
func (c *Controller) shed(s *service, class ident.Class) bool {
	t := s.victim(class)
	if t == nil {
		return false
	}
	c.stats.Shed[t.req.Class]++
	c.refuseQueued(t, verdict.CodeOverloaded, c.estimateWait(s, t.ws, t.req.Class))
	return true
}

// refuseQueued ends the wait of a queued ticket with a refusal.
func (c *Controller) refuseQueued(t *ticket, code verdict.Code, after time.Duration) {
	t.svc.withdraw(t)
	delete(c.tickets, t.id)
	d := c.refuse(t.req, code, after, "service %q didn't start a request of class %s in time", t.req.Service, t.req.Class)
	c.events = append(c.events, Event{Ticket: t.id, Err: d.Err})
}

// Done ends an admitted request that ran for d since its grant. Call Tick after it.
func (c *Controller) Done(now time.Time, id Ticket, d time.Duration) {
	if t := c.tickets[id]; t != nil && !t.queued {
		t.svc.lanes[t.req.Class].recordServiceTime(d)
		c.release(now, t)
	}
}

// Cancel ends a queued or admitted request whose caller has disconnected, or whose
// duration must not count towards the mean service time. Call Tick after it.
func (c *Controller) Cancel(now time.Time, id Ticket) {
	t := c.tickets[id]
	if t == nil {
		return
	}
	if !t.queued {
		c.release(now, t)
		return
	}
	t.svc.withdraw(t)
	delete(c.tickets, id)
}

// release frees the slot of an admitted request and grants queued requests.
func (c *Controller) release(now time.Time, t *ticket) {
	delete(c.tickets, t.id)
	c.events = slices.DeleteFunc(c.events, func(e Event) bool { return e.Ticket == t.id })
	l := t.svc.lanes[t.req.Class]
	t.svc.inflight--
	if t.svc.inflightBy[t.ws]--; t.svc.inflightBy[t.ws] == 0 {
		delete(t.svc.inflightBy, t.ws)
	}
	l.inflight--
	if t.aged {
		l.aged--
	}
	t.ws.inflight--
	t.ws.byClass[t.req.Class]--
	c.grant(now)
}

// grant starts queued requests of all services, as they share the limits of a workspace.
func (c *Controller) grant(now time.Time) {
	for _, s := range c.services {
		c.grantIn(now, s)
	}
}

func (c *Controller) grantIn(now time.Time, s *service) {
	for t := c.next(now, s); t != nil; t = c.next(now, s) {
		if now.After(t.startBy) {
			c.refuseQueued(t, verdict.CodeDeadline, c.opts.MinRetryAfter)
			continue
		}
		c.start(now, t)
	}
}

// start grants a queued ticket and counts it as in flight.
func (c *Controller) start(now time.Time, t *ticket) {
	s, class := t.svc, t.req.Class
	l := s.lanes[class]
	s.dequeue(t)
	l.virtualTime = max(l.virtualTime, t.startTag)
	s.inflight++
	s.inflightBy[t.ws]++
	l.inflight++
	t.ws.inflight++
	t.ws.byClass[class]++
	if t.aged {
		l.aged++
		c.stats.Aged[class]++
	}
	c.stats.Admitted[class]++
	invariant.Check(t.ws.inflight <= t.ws.limit && s.inflight <= s.capacity, invariant.AdmittedWithinLimit,
		"workspace %q has %d of %d in flight, service %q %d of %d",
		t.ws.name, t.ws.inflight, t.ws.limit, s.name, s.inflight, s.capacity)
	invariant.Check(t.req.Deadline.IsZero() || !now.After(t.req.Deadline), invariant.QueuedEndsByDeadline,
		"ticket %d granted after its deadline", t.id)
	c.events = append(c.events, Event{Ticket: t.id})
}

// Tick refuses the queued requests whose latest start time has passed, grants those
// that can start, and returns the events since the last call.
func (c *Controller) Tick(now time.Time) []Event {
	for _, s := range c.services {
		c.expire(now, s)
	}
	c.grant(now)
	out := c.events
	c.events = nil
	return out
}

// expire refuses the queued requests of a service whose latest start time has passed.
func (c *Controller) expire(now time.Time, s *service) {
	for _, class := range ident.Classes {
		l := s.lanes[class]
		if l.queued == 0 || now.Before(l.nextExpiry) {
			continue
		}
		next := now.Add(maxWaitEstimate)
		for _, f := range slices.Clone(l.active) {
			for _, t := range slices.Clone(f.queue) {
				if now.Before(t.startBy) {
					next = earliest(next, t.startBy)
					continue
				}
				invariant.Check(!tickedLate(now, t), invariant.QueuedEndsByDeadline,
					"ticket %d is in the queue %s after its deadline", t.id, now.Sub(t.req.Deadline))
				c.refuseQueued(t, verdict.CodeDeadline, c.estimateWait(s, t.ws, class))
			}
		}
		l.nextExpiry = next
	}
}

// maxTickDelay is how late Tick may be called before it counts as a violation of
// QueuedEndsByDeadline.
const maxTickDelay = time.Second

// tickedLate reports whether Tick was called too late for a queued request.
func tickedLate(now time.Time, t *ticket) bool {
	return !t.req.Deadline.IsZero() && now.Sub(t.req.Deadline) > maxTickDelay
}

// Wake returns when Tick must next be called: when the next queued request expires or
// ages, or now if events are pending. It returns false if no call is needed.
func (c *Controller) Wake(now time.Time) (time.Time, bool) {
	if len(c.events) > 0 {
		return now, true
	}
	var wake time.Time
	for _, s := range c.services {
		for _, class := range ident.Classes {
			if l := s.lanes[class]; l.queued > 0 {
				wake = earliest(wake, c.nextWake(now, l))
			}
		}
	}
	return wake, !wake.IsZero()
}

// nextWake returns when Tick must next be called for a lane.
func (c *Controller) nextWake(now time.Time, l *lane) time.Time {
	wake := l.nextExpiry
	after := c.opts.Classes[l.class].AgeAfter
	if after == 0 {
		return wake
	}
	for _, f := range l.active {
		if at := f.queue[0].offeredAt.Add(after); at.After(now) {
			wake = earliest(wake, at)
		}
	}
	return wake
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Stats returns the counters since New.
func (c *Controller) Stats() Stats {
	return c.stats
}
