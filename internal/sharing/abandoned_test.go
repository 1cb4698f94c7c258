package sharing_test

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/sharing"
	"github.com/jujubeshed/jujubeshed/internal/testpeer"
)

// TestAbandonedCallIsDiscarded checks that a call to another node that was given up doesn't reach
// it later if the kernel held it until then: the time of day in it would be long past.
func TestAbandonedCallIsDiscarded(t *testing.T) {
	peer := testpeer.NewUnread(t)
	s := sharing.New(sharing.Options{Self: incarnation("a", 1), Log: slog.New(slog.DiscardHandler), Metrics: prometheus.NewRegistry()})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	kind := platformapi.Key(strings.Repeat("x", testpeer.HeldBytes))
	if _, err := s.ChangesFrom(ctx, peer.Address(), kind, 0, time.Second); err == nil {
		t.Error("a call that was not read has succeeded")
	}
	time.Sleep(50 * time.Millisecond) // until the connection is closed in the background
	if err := peer.ReadRequest(t); err == nil {
		t.Error("the call arrived after it was given up")
	}
}
