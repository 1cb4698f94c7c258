package node

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"
)

// TestPauseGuard lets a node come back from a pause: it refuses from the first
// moment on, and serves once it has caught up at the second try.
func TestPauseGuard(t *testing.T) {
	tries := 0
	var g *pauseGuard
	g = newPauseGuard(slog.New(slog.DiscardHandler), func(context.Context) error {
		tries++
		if g.fresh() {
			t.Error("fresh while it catches up")
		}
		if tries < 2 {
			return errors.New("store is down")
		}
		return nil
	})
	g.tick(context.Background())
	if !g.fresh() || tries != 0 {
		t.Fatalf("fresh %t after %d tries without a pause", g.fresh(), tries)
	}
	g.lastAwake.Store(time.Now().Add(-pauseAfter - time.Second).UnixNano())
	if g.fresh() {
		t.Error("fresh right after a pause")
	}
	g.tick(context.Background())
	if !g.fresh() || tries != 2 {
		t.Errorf("fresh %t after %d tries", g.fresh(), tries)
	}
}
