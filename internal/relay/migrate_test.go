package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/reach"
	"github.com/jujubeshed/jujubeshed/internal/serve"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/testaddress"
)

// TestMigrationIsRelayedByTheNextNode guards against streams of a leaving engine that are not moved
// since the first node that should relay the call is stopping, or has ended.
func TestMigrationIsRelayedByTheNextNode(t *testing.T) {
	p := newPair(t, func(context.Context, serve.Attempt) (*serve.Answer, error) { return nil, nil })
	working := p.origin.opts.Nodes("s", nil)
	stopping := NewService(p.service.transport, bytebudget.New(1), time.Now, prometheus.NewRegistry())
	if err := stopping.Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(stopping.Handler())
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	for name, other := range map[string]string{"stopping": srv.Listener.Addr().String(), "ended": testaddress.New()} {
		p.origin.opts.Nodes = func(ident.Service, site.Homes) []string { return append([]string{other}, working...) }
		for i := range 20 {
			p.origin.mu.relays = reach.NewRelays() // which node is first is random
			kvCopy, err := p.origin.Migrate(context.Background(), serve.Migration{Request: "r-1", From: testEndpoint, To: testEndpoint})
			if kvCopy == nil || kvCopy.Handle != "h" {
				t.Fatalf("%s: call %d: KV copy %v, error %v", name, i, kvCopy, err)
			}
		}
	}
}

// TestLateMigrationIsNotSent guards against a stop of a stream that arrives at its engine long after
// it was given up, since the node that relays it was paused: the stream may run there again.
func TestLateMigrationIsNotSent(t *testing.T) {
	p := newPair(t, func(context.Context, serve.Attempt) (*serve.Answer, error) { return nil, nil })
	m := serve.Migration{Request: "r-1", From: testEndpoint, To: testEndpoint, Stop: true}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for held, sent := range map[time.Duration]bool{0: true, 900 * time.Millisecond: true, 2 * time.Second: false} {
		msg := encodeMigration(ctx, m, time.Now().Add(-held))
		resp, err := p.service.Migrate(ctx, connect.NewRequest(msg))
		if err != nil {
			t.Fatal(err)
		}
		if got := resp.Msg.Copy != nil; got != sent {
			t.Errorf("held up for %s: sent %t, error %v", held, got, resp.Msg.Error)
		}
	}
	msg := encodeMigration(ctx, m, time.Now().Add(-2*time.Second))
	msg.Deadline = 0
	if resp, err := p.service.Migrate(ctx, connect.NewRequest(msg)); err != nil || resp.Msg.Copy == nil {
		t.Errorf("call of an earlier build: %v, error %v", resp, err)
	}
}
