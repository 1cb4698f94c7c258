package node

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// awakeInterval is the time between two signs of life of the process.
	awakeInterval = 100 * time.Millisecond
	// pauseAfter is the age of the last one at which the process counts as having
	// been paused.
	pauseAfter = 3 * time.Second
	// catchUpPatience is how long a node that was paused refuses requests while
	// neither store nor peers answer. After it the old configuration serves again: a
	// node that nobody can reach hears of no newer one.
	catchUpPatience = 10 * time.Second
)

// pauseGuard tells whether the process was paused and has not caught up since. A
// request that asks it right after the pause is told so before anything else ran.
type pauseGuard struct {
	log     *slog.Logger
	catchUp func(ctx context.Context) error
	// lastAwake is the wall time of the last sign of life, in nanoseconds since
	// 1970: the monotonic clock may stand still in a pause.
	lastAwake atomic.Int64
	behind    atomic.Bool
}

func newPauseGuard(log *slog.Logger, catchUp func(ctx context.Context) error) *pauseGuard {
	g := &pauseGuard{log: log, catchUp: catchUp}
	g.lastAwake.Store(time.Now().UnixNano())
	return g
}

// fresh tells whether requests may be served by the configuration in force.
func (g *pauseGuard) fresh() bool {
	return !g.behind.Load() && !g.paused(time.Now())
}

func (g *pauseGuard) paused(now time.Time) bool {
	return now.UnixNano()-g.lastAwake.Load() > int64(pauseAfter)
}

// tick gives a sign of life. After a pause it first catches up on the configuration.
func (g *pauseGuard) tick(ctx context.Context) {
	if g.paused(time.Now()) {
		g.behind.Store(true)
		g.log.Warn("node: Back from a pause, catch up before serving.")
		g.recover(ctx)
		g.behind.Store(false)
	}
	g.lastAwake.Store(time.Now().UnixNano())
}

// recover catches up, within the patience.
func (g *pauseGuard) recover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, catchUpPatience)
	defer cancel()
	for {
		err := g.catchUp(ctx)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			g.log.Error("node: Could not catch up, serve by the old configuration.", "error", err)
			return
		}
		sleep(ctx, awakeInterval)
	}
}
