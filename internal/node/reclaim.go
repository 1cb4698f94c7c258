package node

import (
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// reclaimTracker detects the reclaim of the node's own host, and shortens the drain to
// end before the deadline of the reclaim.
type reclaimTracker struct {
	host      ident.Host     // empty if unknown
	announced chan time.Time // receives the deadline of the first notice

	mu struct {
		sync.Mutex
		deadline time.Time // zero before the first notice
	}
}

func newReclaimTracker(host ident.Host) *reclaimTracker {
	return &reclaimTracker{host: host, announced: make(chan time.Time, 1)}
}

// handleNotice handles a reclaim notice of the platform. Only the first notice for the
// node's own host whose deadline has not passed takes effect.
func (r *reclaimTracker) handleNotice(n platformapi.Notice) {
	if r.host == "" || n.Host != r.host || !time.Now().Before(n.Deadline) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mu.deadline.IsZero() {
		r.mu.deadline = n.Deadline
		r.announced <- n.Deadline
	}
}

// drainTimes returns the drain delay and drain timeout. They are those of the options,
// shortened if the host is being reclaimed to what the deadline permits.
func (r *reclaimTracker) drainTimes(o *Options, now time.Time) (delay, timeout time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay, timeout = o.DrainDelay, o.DrainTimeout
	if r.mu.deadline.IsZero() {
		return delay, timeout
	}
	remaining := max(0, r.mu.deadline.Sub(now)-handoverBudget-shutdownBudget)
	delay = min(delay, remaining/2)
	return delay, min(timeout, remaining-delay)
}
