package node

import (
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// reclaim learns of the reclaim of the node's own host, and divides the time left.
type reclaim struct {
	host     ident.Host // empty: the node doesn't know its host
	announce chan time.Time

	mu struct {
		sync.Mutex
		deadline time.Time // zero before a notice
	}
}

func newReclaim(host ident.Host) *reclaim {
	return &reclaim{host: host, announce: make(chan time.Time, 1)}
}

// notice takes a reclaim notice of the platform. The first one of the own host that
// is not over counts.
func (r *reclaim) notice(n platformapi.Notice) {
	if r.host == "" || n.Host != r.host || !time.Now().Before(n.Deadline) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mu.deadline.IsZero() {
		r.mu.deadline = n.Deadline
		r.announce <- n.Deadline
	}
}

// drainTimes returns how long to accept after the readiness check fails, and how
// long answers may run on: as set, or what a reclaim leaves of it.
func (r *reclaim) drainTimes(o *Options, now time.Time) (delay, timeout time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay, timeout = o.DrainDelay, o.DrainTimeout
	if r.mu.deadline.IsZero() {
		return delay, timeout
	}
	left := max(0, r.mu.deadline.Sub(now)-handOverBudget-shutdownBudget)
	delay = min(delay, left/2)
	return delay, min(timeout, left-delay)
}
