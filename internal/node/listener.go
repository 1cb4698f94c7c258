package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/callerconn"
	"github.com/jujubeshed/jujubeshed/internal/entry"
)

const readHeaderTimeout = 10 * time.Second

// listener is an HTTP server that runs as a service.
type listener struct {
	name   string
	addr   string
	log    *slog.Logger
	server *http.Server
	ln     net.Listener
	// connections tracks the connections.
	connections *callerconn.Tracker
	// queueBytes limits what the kernel holds for a connection in each direction.
	queueBytes int
}

// Limits of a connection over HTTP/2, on which clients send many requests at once.
const (
	maxStreams        = 100
	receiveBufferSize = 64 << 10
)

func newListener(name, addr string, h http.Handler, connections *callerconn.Tracker, queueBytes int, log *slog.Logger) *listener {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	l := &listener{
		name: name, addr: addr, log: log, connections: connections, queueBytes: queueBytes,
		server: &http.Server{
			Protocols:         protocols,
			HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: receiveBufferSize, MaxReceiveBufferPerStream: receiveBufferSize},
			Handler:           h,
			ReadHeaderTimeout: readHeaderTimeout,
			MaxHeaderBytes:    entry.MaxHeaderBytes,
			ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		},
	}
	connections.Track(l.server)
	return l
}

// Start opens the listener and serves requests in the background.
func (l *listener) Start(ctx context.Context) error {
	config := callerconn.LimitQueues(net.ListenConfig{}, l.queueBytes)
	ln, err := config.Listen(ctx, "tcp", l.addr)
	if err != nil {
		return errors.Wrapf(err, "listen for %s at %q", l.name, l.addr)
	}
	l.ln = ln
	ln = l.connections.Listener(ln)
	go func() {
		if err := l.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			l.log.Error("node: Listener failed.", "listener", l.name, "error", err)
		}
	}()
	l.log.Info("node: Listening.", "listener", l.name, "address", ln.Addr().String())
	return nil
}

// Stop closes the listener and all of its connections.
func (l *listener) Stop(context.Context) error {
	return l.server.Close()
}
