package duty

import (
	"maps"
	"sync"
	"time"
)

// toldWindows is the number of windows that a node tells the others of: a report is
// decided on within two windows after its own.
const toldWindows = 3

// Windows holds the counts of some windows.
type Windows = map[int64]Counts

// Record is what a node keeps of itself in the store: its counts by life, as those of
// a former life have to be reported, too.
type Record struct {
	Node string `json:"node"`
	// Address of the node's service for other nodes.
	Address string `json:"address"`
	// AsOf is the time up to which the counts are complete, in Unix milliseconds.
	AsOf  int64              `json:"as_of"`
	Lives map[uint64]Windows `json:"lives"`
}

// UsageTable knows the counts of all nodes, from what they tell each other and from their
// records in the store. Counts of one life of a node only grow, so that the larger
// one is the later one.
type UsageTable struct {
	node  string
	life  uint64
	meter *Meter
	now   func() time.Time

	mu struct {
		sync.Mutex
		counts map[string]map[uint64]Windows // by node and life
		asOf   map[string]time.Time
	}
}

// NewUsageTable returns the tally of a node, which counts on a meter; now tells the time of
// day that windows go by.
func NewUsageTable(node string, life uint64, m *Meter, now func() time.Time) *UsageTable {
	t := &UsageTable{node: node, life: life, meter: m, now: now}
	t.mu.counts = make(map[string]map[uint64]Windows)
	t.mu.asOf = make(map[string]time.Time)
	return t
}

// Own returns this life's counts of the latest windows.
func (t *UsageTable) Own() Windows {
	all := t.meter.Snapshot()
	first := t.meter.WindowAt(t.now()) - toldWindows + 1
	maps.DeleteFunc(all, func(window int64, _ Counts) bool { return window < first })
	return all
}

// MergeNode takes the counts of a node, complete up to a time by the node's own clock.
func (t *UsageTable) MergeNode(node string, life uint64, asOf time.Time, windows Windows) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if asOf.After(t.mu.asOf[node]) {
		t.mu.asOf[node] = asOf
	}
	for window, counts := range windows {
		t.merge(node, life, window, counts)
	}
}

// merge takes the larger counts. The lock is held.
func (t *UsageTable) merge(node string, life uint64, window int64, counts Counts) {
	lives := t.mu.counts[node]
	if lives == nil {
		lives = make(map[uint64]Windows)
		t.mu.counts[node] = lives
	}
	if lives[life] == nil {
		lives[life] = make(Windows)
	}
	if lives[life][window] == nil {
		lives[life][window] = make(Counts)
	}
	for w, n := range counts {
		lives[life][window][w] = max(lives[life][window][w], n)
	}
}

// refresh takes this life's own counts and forgets old windows. The lock is held.
func (t *UsageTable) refresh(now time.Time) {
	own := t.meter.Snapshot()
	for window, counts := range own {
		t.merge(t.node, t.life, window, counts)
	}
	first := t.meter.WindowAt(now) - keptWindows
	for node, lives := range t.mu.counts {
		for life, windows := range lives {
			maps.DeleteFunc(windows, func(window int64, _ Counts) bool { return window < first })
			if len(windows) == 0 {
				delete(lives, life)
			}
		}
		if len(lives) == 0 {
			delete(t.mu.counts, node)
		}
	}
	t.mu.asOf[t.node] = now
}

// Add takes the record of a node.
func (t *UsageTable) Add(r Record) {
	for life, windows := range r.Lives {
		t.MergeNode(r.Node, life, time.UnixMilli(r.AsOf), windows)
	}
}

// Record returns what to keep of this node in the store.
func (t *UsageTable) Record(address string) Record {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	r := Record{Node: t.node, Address: address, AsOf: now.UnixMilli(), Lives: make(map[uint64]Windows)}
	for life, windows := range t.mu.counts[t.node] {
		r.Lives[life] = make(Windows, len(windows))
		for window, counts := range windows {
			r.Lives[life][window] = maps.Clone(counts)
		}
	}
	return r
}

// Sum returns the counts of one window over all lives of all nodes.
func (t *UsageTable) Sum(now time.Time, window int64) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	out := make(Counts)
	for _, lives := range t.mu.counts {
		for _, windows := range lives {
			for w, n := range windows[window] {
				out[w] += n
			}
		}
	}
	return out
}

// Complete tells whether every one of some nodes has told its counts past a time.
func (t *UsageTable) Complete(now time.Time, nodes []string, end time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	for _, node := range nodes {
		if t.mu.asOf[node].Before(end) {
			return false
		}
	}
	return true
}
