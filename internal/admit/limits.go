package admit

import (
	"cmp"
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// workspace is this node's share of a workspace's limits and the current usage.
type workspace struct {
	name     ident.Workspace
	weight   float64
	limit    int // maximum requests in flight
	inflight int
	byClass  [numClasses]int
	bucket   *rate.Limiter
}

// peak is the highest recent number of live nodes and when it was last seen.
type peak struct {
	nodes int
	at    time.Time
}

// SetWorkspaces applies the accepted configuration of the workspaces. A workspace
// that is missing from it has the default limits.
func (c *Controller) SetWorkspaces(now time.Time, ws map[ident.Workspace]config.WorkspaceConfig) {
	c.configs = make(map[ident.Workspace]config.WorkspaceConfig, len(ws))
	for name, w := range ws {
		c.configs[name] = w
	}
	c.applyLimits(now)
}

// SetLiveNodes sets the number of live nodes, including this one. Call it whenever
// membership changes, and periodically, as the recent peak expires only here.
func (c *Controller) SetLiveNodes(now time.Time, n int) {
	n = max(n, 1)
	switch {
	case n >= c.peak.nodes:
		c.peak = peak{nodes: n, at: now}
	case now.Sub(c.peak.at) > c.opts.PeakRetention:
		c.peak = peak{nodes: max(n, c.peak.nodes/MaxOvershoot), at: now}
	}
	if d := max(n, (c.peak.nodes+MaxOvershoot-1)/MaxOvershoot); d != c.divisor {
		c.divisor = d
		c.applyLimits(now)
	}
}

func (c *Controller) applyLimits(now time.Time) {
	for _, w := range c.workspaces {
		c.applyLimit(now, w)
	}
	c.grant(now)
}

// applyLimit sets this node's share of one workspace's limits. The share of the
// concurrency is rounded up, so that each node can serve at least one request.
func (c *Controller) applyLimit(now time.Time, w *workspace) {
	cfg := c.configs[w.name]
	w.weight = float64(cmp.Or(cfg.Weight, DefaultWeight))
	w.limit = (cmp.Or(cfg.Concurrency, DefaultConcurrency) + c.divisor - 1) / c.divisor
	perSec := cmp.Or(cfg.RatePerSecond, DefaultRatePerSecond) / float64(c.divisor)
	burst := max(1, int(math.Ceil(perSec*c.opts.BurstTime.Seconds())))
	if w.bucket == nil {
		w.bucket = rate.NewLimiter(rate.Limit(perSec), burst)
		return
	}
	w.bucket.SetLimitAt(now, rate.Limit(perSec))
	w.bucket.SetBurstAt(now, burst)
}

func (c *Controller) workspace(now time.Time, name ident.Workspace) *workspace {
	w := c.workspaces[name]
	if w == nil {
		w = &workspace{name: name}
		c.workspaces[name] = w
		c.applyLimit(now, w)
	}
	return w
}

// classLimit returns how many requests of a class the workspace may have in flight.
func (c *Controller) classLimit(w *workspace, class ident.Class) int {
	return atLeastOne(c.opts.Classes[class].WorkspaceShare * float64(w.limit))
}

// hasRoom reports whether the workspace may have one more request of class in flight.
func (c *Controller) hasRoom(w *workspace, class ident.Class) bool {
	return w.inflight < w.limit && w.byClass[class] < c.classLimit(w, class)
}

// rateWait returns how long a request must wait for the workspace's rate limit; zero
// if the limit allows it now.
func (w *workspace) rateWait(now time.Time) time.Duration {
	missing := 1 - w.bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(w.bucket.Limit()) * float64(time.Second))
}

func atLeastOne(x float64) int {
	return max(1, int(x))
}
