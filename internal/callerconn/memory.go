package callerconn

import (
	"net/http"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
)

// minWait is how long a connection waits for its client before it may be closed for lack of memory
// or descriptors. Ordinary clients send a request at once and receive as fast as is sent.
const minWait = time.Second

// Memory is the memory of a process for the heads of its clients' requests, at all addresses at
// which it listens. It is safe for concurrent use.
type Memory struct {
	heads *bytebudget.Budget
	mu    struct {
		sync.Mutex
		trackers []*Tracker
	}
}

// NewMemory returns a memory of a number of bytes for heads; zero or less means no limit.
func NewMemory(bytes int64) *Memory {
	m := &Memory{heads: bytebudget.New(bytes)}
	m.heads.OnExhausted(m.Relieve)
	return m
}

func (m *Memory) add(t *Tracker) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mu.trackers = append(m.mu.trackers, t)
}

// Relieve closes the connection that has waited for its client for longest, if it has waited for
// minWait: the memory of what it has sent, or doesn't receive, is needed by others.
func (m *Memory) Relieve() { m.closeLongestWait(true) }

// RelieveFiles does the same where descriptors have run out, whatever the connection holds. It reports
// whether it has closed one.
func (m *Memory) RelieveFiles() bool { return m.closeLongestWait(false) }

func (m *Memory) closeLongestWait(memory bool) bool {
	m.mu.Lock()
	trackers := m.mu.trackers
	m.mu.Unlock()
	now := time.Now()
	var longest *Tracker
	var since time.Time
	for _, t := range trackers {
		if c, s := t.longestWait(now, memory); c != nil && (longest == nil || s.Before(since)) {
			longest, since = t, s
		}
	}
	return longest != nil && longest.closeLongestWait(now, memory)
}

// limitStreams returns a handler that takes the memory of requests over HTTP/2, of which a connection
// carries many, from that of heads.
func (m *Memory) limitStreams(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor < 2 || m == nil {
			next.ServeHTTP(w, r)
			return
		}
		size, fields := len(r.Method)+len(r.RequestURI), 0
		for name, values := range r.Header {
			for _, v := range values {
				size += len(name) + len(v)
				fields++
			}
		}
		cost := streamBytes + headCost(size, fields)
		if !m.heads.Take(cost) {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer m.heads.Return(cost)
		next.ServeHTTP(w, r)
	})
}
