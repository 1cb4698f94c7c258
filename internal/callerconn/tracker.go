// Package callerconn bounds what the clients of a listener make a process hold: connections, in time
// and number, and the memory of the heads of their requests.
//
// Pattern: connection exhaustion. Callers keep connections open for later requests. Where nothing
// closes them, idle ones take all descriptors of the process, and no new caller is accepted.
//
// Pattern: memory exhaustion. Clients send heads of many short fields, which take many times their
// size once they are parsed, hold requests open, or receive no responses. What they hold is taken from
// a memory of fixed size; if it is exhausted, the connections that have waited for their clients for
// longest are closed.
package callerconn

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/kernel"
)

const (
	// checkInterval is the interval at which connections are checked against the limits.
	checkInterval = 500 * time.Millisecond
	// failureMemory is how long after a failure to accept a connection the listener counts as not
	// accepting.
	failureMemory = time.Second
)

// Options are the settings of a Tracker.
type Options struct {
	// Name is that of the clients, and the prefix of the metrics. Default: "caller".
	Name   string
	Limits func() Limits
	// Memory is the memory of heads. Default: not limited.
	Memory *Memory
}

// Tracker tracks the connections of an http.Server. It is a service that closes those beyond the
// limits.
type Tracker struct {
	limits   func() Limits
	memory   *Memory
	http2    bool // whether the server accepts HTTP/2; set by Track
	loop     *kernel.Loop
	closed   prometheus.Counter
	refused  prometheus.Counter
	waited   prometheus.Counter
	failures prometheus.Counter

	mu struct {
		sync.Mutex
		states      map[net.Conn]state
		lastFailure time.Time // of accepting a connection; zero for none
	}
}

// New returns a tracker that has not started. It registers its metrics with reg.
func New(opts Options, reg prometheus.Registerer) *Tracker {
	name := cmp.Or(opts.Name, "caller")
	counter := func(suffix, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name + suffix, Help: help})
		reg.MustRegister(c)
		return c
	}
	t := &Tracker{
		limits: opts.Limits, memory: opts.Memory,
		closed:   counter("_connections_closed_total", "Connections of callers that were closed for a limit of time or number."),
		refused:  counter("_connections_refused_total", "Connections of callers that were closed when they were accepted, for a limit of number."),
		waited:   counter("_connections_waited_total", "Connections of callers that were closed to make room since they had waited for their caller for longest."),
		failures: counter("_accept_failures_total", "Connections of callers that could not be accepted, for example for want of descriptors."),
	}
	if t.memory != nil {
		t.memory.add(t)
	}
	t.mu.states = make(map[net.Conn]state)
	open := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name + "_connections", Help: "Open connections of callers."}, func() float64 { return float64(t.count()) })
	reg.MustRegister(open)
	t.loop = kernel.NewLoop(checkInterval, func(context.Context) { t.check(time.Now()) })
	return t
}

// Start implements kernel.Starter.
func (t *Tracker) Start(ctx context.Context) error { return t.loop.Start(ctx) }

// Stop implements kernel.Stopper.
func (t *Tracker) Stop(ctx context.Context) error { return t.loop.Stop(ctx) }

func (t *Tracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.mu.states)
}

// Accepting reports whether connections can be accepted: the last attempts have not failed.
func (t *Tracker) Accepting() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mu.lastFailure.IsZero() || time.Since(t.mu.lastFailure) > failureMemory
}

// contextKey is the key of the connection in the context of a request.
type contextKey struct{}

// Track makes a server report its connections to the tracker. It must be called before Serve.
func (t *Tracker) Track(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, contextKey{}, c) }
	server.ConnState = t.changed
	t.http2 = server.Protocols != nil && server.Protocols.UnencryptedHTTP2()
	next := t.memory.limitStreams(server.Handler)
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		r = r.WithContext(ctx)
		if c, ok := ctx.Value(contextKey{}).(net.Conn); ok && !t.begin(c, r, cancel) {
			panic(http.ErrAbortHandler) // the connection was closed while the request arrived
		}
		next.ServeHTTP(w, r)
	})
}

// Listener returns a listener that reports failures to accept to the tracker.
func (t *Tracker) Listener(ln net.Listener) net.Listener { return trackedListener{ln, t} }

type trackedListener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener. Connections for which there is no room are closed.
func (l trackedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				l.tracker.acceptFailed(time.Now())
			}
			return nil, err
		}
		accepted := newConn(c, l.tracker.memory, l.tracker.http2)
		if l.tracker.makeRoom(time.Now()) {
			return accepted, nil
		}
		l.tracker.refused.Inc()
		accepted.abort()
	}
}

// makeRoom closes a connection if there are as many as there may be, and reports whether one more may
// be open: it closes one that is idle, or else the one that has waited for its client for longest.
func (t *Tracker) makeRoom(now time.Time) bool {
	open, total := t.count(), t.limits().Total
	if total <= 0 || open < total {
		return true
	}
	t.enforce(Limits{Connections: total - 1}, now)
	return t.count() < open || t.closeLongestWait(now, false)
}

// longestWait returns the connection that has waited for its client for longest, if it has for
// minWait. If memory is set, only those that hold some count; if not, clients that send more than the
// request that is served count as well, since they take part of the kernel's memory.
func (t *Tracker) longestWait(now time.Time, memory bool) (longest *conn, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	since = now.Add(-minWait)
	for nc, s := range t.mu.states {
		c, ok := nc.(*conn)
		if !ok {
			continue
		}
		at, waits := c.waitsSince()
		switch {
		case waits:
		case memory && !s.serving:
			at, waits = s.since, c.taken.Load() > 0
		case !s.serving && !s.used:
			at, waits = s.since, true // for its first request, or the rest of a head
		case !memory:
			at, waits = c.earlySince()
		}
		if waits && at.Before(since) {
			longest, since = c, at
		}
	}
	return longest, since
}

// closeLongestWait closes the connection that longestWait returns, and reports whether there is one.
func (t *Tracker) closeLongestWait(now time.Time, memory bool) bool {
	c, _ := t.longestWait(now, memory)
	if c == nil {
		return false
	}
	t.mu.Lock()
	delete(t.mu.states, c)
	t.mu.Unlock()
	t.waited.Inc()
	c.abort()
	return true
}

// acceptFailed makes room for new connections where descriptors have run out, whatever else has
// taken them.
func (t *Tracker) acceptFailed(now time.Time) {
	const room = 10 // part of the connections that are closed
	t.failures.Inc()
	limits := t.limits()
	t.mu.Lock()
	t.mu.lastFailure = now
	limits.Connections = max(len(t.mu.states)-len(t.mu.states)/room-1, 1)
	t.mu.Unlock()
	t.enforce(limits, now)
	t.closeLongestWait(now, false)
}

func (t *Tracker) changed(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, open := t.mu.states[c]
	switch {
	case s == http.StateNew:
		t.mu.states[c] = state{since: time.Now()}
	case s == http.StateActive && open:
		t.mu.states[c] = state{active: true, since: time.Now()}
	case s == http.StateIdle && open:
		t.mu.states[c] = state{used: true, since: time.Now()}
		if c, ok := c.(*conn); ok {
			c.end()
		}
	case s == http.StateClosed, s == http.StateHijacked:
		delete(t.mu.states, c)
	}
}

// begin records that a request is served, which cancel cancels, unless its connection has been closed.
func (t *Tracker) begin(nc net.Conn, r *http.Request, cancel func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, open := t.mu.states[nc]
	if !open {
		return false
	}
	t.mu.states[nc] = state{active: true, serving: true, since: time.Now()}
	if c, ok := nc.(*conn); ok {
		c.begin(r.ContentLength, cancel)
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = &waitingBody{ReadCloser: r.Body, reads: &c.bodies}
		}
	}
	return true
}

// waitingBody is the body of a request that records that its reads wait for the client.
type waitingBody struct {
	io.ReadCloser
	reads *waitingReads
}

// Read implements io.Reader.
func (b *waitingBody) Read(p []byte) (int, error) {
	b.reads.begin()
	defer b.reads.end()
	return b.ReadCloser.Read(p)
}

func (t *Tracker) check(now time.Time) { t.enforce(t.limits(), now) }

// enforce closes the connections beyond the limits. A request that arrives meanwhile isn't served.
func (t *Tracker) enforce(limits Limits, now time.Time) {
	t.mu.Lock()
	var chosen []net.Conn
	for _, c := range choose(t.mu.states, limits, now) {
		if !hasUnreadBytes(c) {
			delete(t.mu.states, c)
			chosen = append(chosen, c)
		}
	}
	t.mu.Unlock()
	for _, c := range chosen {
		t.closed.Inc()
		_ = c.Close() // nothing is in flight on it
	}
}

// newConnectionTime is how long a draining listener waits for the first request on a connection.
const newConnectionTime = time.Second

// CloseIdle closes the connections that wait for another request, and returns the number of the
// others.
func (t *Tracker) CloseIdle(now time.Time) (open int) {
	t.mu.Lock()
	var idle []net.Conn
	for c, s := range t.mu.states {
		waits := !s.active && (s.used || now.Sub(s.since) > newConnectionTime)
		if waits && !hasUnreadBytes(c) {
			delete(t.mu.states, c)
			idle = append(idle, c)
		}
	}
	open = len(t.mu.states)
	t.mu.Unlock()
	for _, c := range idle {
		_ = c.Close() // nothing is in flight on it
	}
	return open
}

// hasUnreadBytes reports whether bytes have arrived on a connection that the server has not read:
// a request is on its way, for example while the host was suspended.
func hasUnreadBytes(c net.Conn) bool {
	if c, ok := c.(*conn); ok && c.hasRest() {
		return true
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	var b [1]byte
	if err := raw.Control(func(fd uintptr) { n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) }); err != nil {
		return false
	}
	return n > 0
}
