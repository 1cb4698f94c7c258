package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

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
