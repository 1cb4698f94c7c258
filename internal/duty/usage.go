package duty

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// keptWindows is the number of windows whose counts a node keeps. Reports are due two
// windows after the window's end, and a new lease holder may take over late.
const keptWindows = 8

// Counts are numbers of requests by workspace.
type Counts = map[ident.Workspace]uint64

// UsageReport is the usage of one window by all nodes. It is stored under its own field
// names.
type UsageReport struct {
	Window int64
	Counts Counts
}

// Meter counts the requests of each window on this node.
type Meter struct {
	window time.Duration
	mu     struct {
		sync.Mutex
		windows map[int64]Counts
	}
}

// NewMeter returns a meter whose windows have the given length.
func NewMeter(window time.Duration) *Meter {
	m := &Meter{window: window}
	m.mu.windows = make(map[int64]Counts)
	return m
}

// WindowAt returns the number of the window that contains t.
func (m *Meter) WindowAt(t time.Time) int64 { return t.UnixMilli() / m.window.Milliseconds() }

// End returns the end of a window.
func (m *Meter) End(window int64) time.Time {
	return time.UnixMilli((window + 1) * m.window.Milliseconds())
}

// Count counts a request of w that started running at t.
func (m *Meter) Count(t time.Time, w ident.Workspace) {
	k := m.WindowAt(t)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.mu.windows[k] == nil {
		m.mu.windows[k] = make(Counts)
	}
	m.mu.windows[k][w]++
}

// Snapshot drops the counts of old windows and returns those of the latest keptWindows.
func (m *Meter) Snapshot() Windows {
	m.mu.Lock()
	defer m.mu.Unlock()
	keys := slices.Sorted(maps.Keys(m.mu.windows))
	for len(keys) > keptWindows {
		delete(m.mu.windows, keys[0])
		keys = keys[1:]
	}
	out := make(map[int64]Counts, len(m.mu.windows))
	for k, counts := range m.mu.windows {
		out[k] = maps.Clone(counts)
	}
	return out
}
