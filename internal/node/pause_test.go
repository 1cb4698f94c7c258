package node

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"
)

// TestPauseGuard checks that a node refuses requests directly after a pause, and serves
// again once it has caught up, here at the second attempt.
func TestPauseGuard(t *testing.T) {
	attempts := 0
	var g *pauseGuard
	g = newPauseGuard(slog.New(slog.DiscardHandler), func(context.Context) error {
		attempts++
		if g.caughtUp() {
			t.Error("caughtUp is true while catching up")
		}
		if attempts < 2 {
			return errors.New("store is unreachable")
		}
		return nil
	})
	g.tick(context.Background())
	if !g.caughtUp() || attempts != 0 {
		t.Fatalf("caughtUp is %t after %d attempts without a pause, want true after 0", g.caughtUp(), attempts)
	}
	g.lastHeartbeat.Store(time.Now().Add(-pauseThreshold - time.Second).UnixNano())
	if g.caughtUp() {
		t.Error("caughtUp is true right after a pause")
	}
	g.tick(context.Background())
	if !g.caughtUp() || attempts != 2 {
		t.Errorf("caughtUp is %t after %d attempts, want true after 2", g.caughtUp(), attempts)
	}
}
