package relay

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/testpeer"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// TestAbandonedRelayIsDiscarded checks that a request that was given up, and may have been sent
// through another node since, doesn't reach the first one later if the kernel held it until then.
func TestAbandonedRelayIsDiscarded(t *testing.T) {
	peer := testpeer.NewUnread(t)
	origin := NewTransport(Options{
		Transport: &fakeTransport{}, Services: func() []ident.Service { return []ident.Service{"s"} },
		Endpoints: func(ident.Service) []site.Endpoint { return []site.Endpoint{testEndpoint} },
		Nodes:     func(ident.Service, site.Homes) []string { return []string{peer.Address()} },
		Bodies:    bytebudget.New(4 << 20), WallTime: time.Now, Log: slog.New(slog.DiscardHandler), Metrics: prometheus.NewRegistry(),
	})
	origin.SetSignals(&recorder{})
	origin.pathsTo("s").Probed(time.Now(), 0, 3)
	a := newRequestOf()
	a.Request.Body = make([]byte, testpeer.HeldBytes)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if _, err := origin.Send(ctx, a); verdict.Of(err) != verdict.MayHaveRun {
		t.Errorf("error %v, want one that may have run", err)
	}
	time.Sleep(50 * time.Millisecond) // until the connection is closed in the background
	if err := peer.ReadRequest(t); err == nil {
		t.Error("the request arrived after it was given up")
	}
}
