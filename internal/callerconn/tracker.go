// Package callerconn bounds the connections that callers keep open, in time and number.
//
// Pattern: connection exhaustion. Callers keep connections open for later requests. Where nothing
// closes them, idle ones take all descriptors of the process, and no new caller is accepted.
package callerconn

import (
	"context"
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

// Tracker tracks the connections of an http.Server. It is a service that closes those beyond the
// limits.
type Tracker struct {
	limits   func() Limits
	loop     *kernel.Loop
	closed   prometheus.Counter
	failures prometheus.Counter

	mu struct {
		sync.Mutex
		states      map[net.Conn]state
		lastFailure time.Time // of accepting a connection; zero for none
	}
}

// New returns a tracker that has not started. It registers its metrics with reg.
func New(limits func() Limits, reg prometheus.Registerer) *Tracker {
	t := &Tracker{
		limits:   limits,
		closed:   prometheus.NewCounter(prometheus.CounterOpts{Name: "caller_connections_closed_total", Help: "Connections of callers that were closed for a limit of time or number."}),
		failures: prometheus.NewCounter(prometheus.CounterOpts{Name: "caller_accept_failures_total", Help: "Connections of callers that could not be accepted, for example for want of descriptors."}),
	}
	t.mu.states = make(map[net.Conn]state)
	open := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "caller_connections", Help: "Open connections of callers."}, func() float64 { return float64(t.count()) })
	reg.MustRegister(t.closed, t.failures, open)
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
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(contextKey{}).(net.Conn); ok && !t.begin(c) {
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

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		l.tracker.acceptFailed(time.Now())
	}
	return c, err
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
	case s == http.StateClosed, s == http.StateHijacked:
		delete(t.mu.states, c)
	}
}

// begin records that a request is served, unless its connection has been closed.
func (t *Tracker) begin(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, open := t.mu.states[c]
	if open {
		t.mu.states[c] = state{active: true, since: time.Now()}
	}
	return open
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
