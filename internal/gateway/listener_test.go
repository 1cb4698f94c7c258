package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"
)

// hangingListener serves a request that ends only with the connection.
func hangingListener(t *testing.T, build func(string, http.Handler, *slog.Logger) *listener) *listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	_ = ln.Close()
	begun := make(chan struct{})
	l := build(address, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
	}), slog.New(slog.DiscardHandler))
	if err := l.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Stop(context.Background()) })
	go func() {
		resp, err := http.Get("http://" + address)
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-begun
	return l
}

// TestDrain: a planned stop waits for callers' requests, and not for the calls of other
// nodes, which wait for changes for many seconds.
func TestDrain(t *testing.T) {
	for name, c := range map[string]struct {
		build func(string, http.Handler, *slog.Logger) *listener
		waits bool
	}{
		"callers": {newDrainedListener, true},
		"peers":   {newListener, false},
	} {
		l := hangingListener(t, c.build)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		err := l.Drain(ctx)
		cancel()
		if (err != nil) != c.waits {
			t.Errorf("%s: drain ended with %v", name, err)
		}
	}
}
