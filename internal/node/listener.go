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
	// connections tracks the connections of callers; nil on other listeners.
	connections *callerconn.Tracker
}

func newListener(name, addr string, h http.Handler, log *slog.Logger) *listener {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &listener{
		name: name, addr: addr, log: log,
		server: &http.Server{
			Protocols:         protocols,
			Handler:           h,
			ReadHeaderTimeout: readHeaderTimeout,
			MaxHeaderBytes:    entry.MaxHeaderBytes,
			ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		},
	}
}

// Start opens the listener and serves requests in the background.
func (l *listener) Start(context.Context) error {
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		return errors.Wrapf(err, "listen for %s at %q", l.name, l.addr)
	}
	l.ln = ln
	if l.connections != nil {
		ln = l.connections.Listener(ln)
	}
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
