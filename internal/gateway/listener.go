package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/callerconn"
	"github.com/jujubeshed/jujubeshed/internal/keepalive"
)

const (
	// readHeaderTimeout is above the longest time that a configuration allows a caller for
	// sending the request header.
	readHeaderTimeout = 15 * time.Second
	// idleTimeout is above the longest idle time that a configuration allows a caller's
	// connection; the callers' listener enforces the configured time.
	idleTimeout = 5 * time.Minute
	// maxHeaderBytes is above the largest header size that a configuration allows.
	maxHeaderBytes = 64 << 10
	// drainCheckInterval is how often a draining listener closes the connections that have become
	// idle.
	drainCheckInterval = 20 * time.Millisecond
)

// listener serves HTTP at an address.
type listener struct {
	address string
	server  *http.Server
	ln      net.Listener // set by Start
	log     *slog.Logger
	// drains reports whether Drain waits for running requests.
	drains bool
	// connections tracks the connections.
	connections *callerconn.Tracker
	// queueBytes limits what the kernel holds for a connection in each direction; zero means its default.
	queueBytes int
}

func newListener(address string, h http.Handler, connections *callerconn.Tracker, log *slog.Logger) *listener {
	l := &listener{address: address, log: log, connections: connections, server: &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}}
	connections.Track(l.server)
	return l
}

// Start implements kernel.Starter.
func (l *listener) Start(ctx context.Context) error {
	config := callerconn.LimitQueues(keepalive.ListenConfig(), l.queueBytes)
	ln, err := config.Listen(ctx, "tcp", l.address)
	if err != nil {
		return errors.Wrapf(err, "listen at %s", l.address)
	}
	ln = l.connections.Listener(ln)
	l.ln = ln
	go func() {
		if err := l.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			l.log.Error("listener: Ended.", "address", l.address, "error", err)
		}
	}()
	return nil
}

// newCallersListener returns a listener whose running requests are completed before the node stops.
func newCallersListener(address string, h http.Handler, connections *callerconn.Tracker, log *slog.Logger) *listener {
	l := newListener(address, h, connections, log)
	l.drains = true
	return l
}

// Drain implements kernel.Drainer: on a draining listener, it stops accepting connections, closes
// the idle ones and waits for the running requests. Shutdown alone would drop requests that have
// arrived on idle connections without a response. On others it does nothing: calls of other nodes
// wait for changes for many seconds and may be cut off.
func (l *listener) Drain(ctx context.Context) error {
	if !l.drains {
		return nil
	}
	if err := l.ln.Close(); err != nil {
		return errors.Wrapf(err, "close the listener at %s", l.address)
	}
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for l.connections.CloseIdle(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "drain %s", l.address)
		case <-ticker.C:
		}
	}
	if err := l.server.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) { // the listener is closed already
		return errors.Wrapf(err, "drain %s", l.address)
	}
	return nil
}

// Stop implements kernel.Stopper.
func (l *listener) Stop(context.Context) error {
	return l.server.Close()
}
