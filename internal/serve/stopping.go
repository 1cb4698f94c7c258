package serve

import (
	"sync"

	"github.com/jujubeshed/jujubeshed/internal/attempt"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// runningCalls are the requests that have not ended.
type runningCalls struct {
	mu    sync.Mutex
	calls map[*call]struct{}
}

func newRunningCalls() *runningCalls { return &runningCalls{calls: make(map[*call]struct{})} }

// add adds a request and returns the function that removes it.
func (r *runningCalls) add(c *call) (remove func()) {
	c.control = make(chan attempt.Event, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[c] = struct{}{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.calls, c)
	}
}

// TerminateRequests ends all running requests, as the node exits. Callers without a part of the
// response get an error, whose verdict states whether the request may have run. It returns the
// number of requests.
func (h *Handler) TerminateRequests() int {
	h.running.mu.Lock()
	defer h.running.mu.Unlock()
	for c := range h.running.calls {
		select {
		case c.control <- attempt.Terminate{}:
		default: // it was sent before
		}
	}
	return len(h.running.calls)
}

// mayStart returns an error if this node stops before the request would end, unless the caller has
// a part of the response: no other node can continue that.
func (c *call) mayStart() *verdict.Error {
	if c.delivery.hasStarted() {
		return nil
	}
	if err := c.h.mayStart(c.deadline, c.route.Idempotent()); err != nil {
		return err.After(randomRetryAfter())
	}
	return nil
}
