package node

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// heartbeatInterval is the time between two heartbeats of the process.
	heartbeatInterval = 100 * time.Millisecond
	// pauseThreshold is the age of the last heartbeat above which the process is
	// considered to have been paused.
	pauseThreshold = 3 * time.Second
	// catchUpMaxWait is how long a node that was paused refuses requests while neither
	// the store nor the peers respond. After that it serves with its old configuration:
	// an isolated node could not get a newer one anyway.
	catchUpMaxWait = 10 * time.Second
)

// pauseGuard detects that the process was paused and has not caught up on the
// configuration since. A request that arrives right after the pause is refused too,
// as the check does not depend on a background task running first.
type pauseGuard struct {
	log     *slog.Logger
	catchUp func(ctx context.Context) error
	// lastHeartbeat is the wall-clock time of the last heartbeat, in Unix nanoseconds.
	// The monotonic clock is not used as it may stop during a pause.
	lastHeartbeat atomic.Int64
	catchingUp    atomic.Bool
}

func newPauseGuard(log *slog.Logger, catchUp func(ctx context.Context) error) *pauseGuard {
	g := &pauseGuard{log: log, catchUp: catchUp}
	g.lastHeartbeat.Store(time.Now().UnixNano())
	return g
}

// caughtUp reports whether requests may be served with the configuration in force.
func (g *pauseGuard) caughtUp() bool {
	return !g.catchingUp.Load() && !g.paused(time.Now())
}

func (g *pauseGuard) paused(now time.Time) bool {
	return now.UnixNano()-g.lastHeartbeat.Load() > int64(pauseThreshold)
}

// tick records a heartbeat. After a pause it first catches up on the configuration.
func (g *pauseGuard) tick(ctx context.Context) {
	if g.paused(time.Now()) {
		g.catchingUp.Store(true)
		g.log.Warn("node: Process was paused; catching up on the configuration before serving.")
		g.retryCatchUp(ctx)
		g.catchingUp.Store(false)
	}
	g.lastHeartbeat.Store(time.Now().UnixNano())
}

// retryCatchUp catches up on the configuration. It retries on errors, for at most
// catchUpMaxWait.
func (g *pauseGuard) retryCatchUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, catchUpMaxWait)
	defer cancel()
	for {
		err := g.catchUp(ctx)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			g.log.Error("node: Could not catch up; serving with the old configuration.", "error", err)
			return
		}
		sleep(ctx, heartbeatInterval)
	}
}
