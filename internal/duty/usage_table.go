package duty

import (
	"maps"
	"sync"
	"time"
)

// sharedWindows is the number of latest windows whose counts a node sends to the others.
// A report is finalised within two windows after its own.
const sharedWindows = 3

// Windows are counts by window number.
type Windows = map[int64]Counts

// Record is a node's record in the store: its counts by incarnation, as those of earlier
// incarnations must be reported too.
type Record struct {
	Node string `json:"node"`
	// Address is where other nodes reach the node.
	Address string `json:"address"`
	// AsOf is the time up to which the counts are complete, in Unix milliseconds by the
	// node's clock.
	AsOf         int64              `json:"as_of"`
	Incarnations map[uint64]Windows `json:"lives"`
}

// UsageTable contains the counts of all nodes, from the exchange between the nodes and
// from their records in the store. Within one incarnation of a node counts only increase,
// so the larger of two is the later one.
type UsageTable struct {
	node        string
	incarnation uint64
	meter       *Meter
	now         func() time.Time

	mu struct {
		sync.Mutex
		counts map[string]map[uint64]Windows // by node and incarnation
		asOf   map[string]time.Time          // by node: the time up to which its counts are complete
	}
}

// NewUsageTable returns the usage table of a node that counts its requests with m; now
// returns the wall-clock time by which windows are numbered.
func NewUsageTable(node string, incarnation uint64, m *Meter, now func() time.Time) *UsageTable {
	t := &UsageTable{node: node, incarnation: incarnation, meter: m, now: now}
	t.mu.counts = make(map[string]map[uint64]Windows)
	t.mu.asOf = make(map[string]time.Time)
	return t
}

// LocalCounts returns the counts of this incarnation in the latest windows.
func (t *UsageTable) LocalCounts() Windows {
	all := t.meter.Snapshot()
	first := t.meter.WindowAt(t.now()) - sharedWindows + 1
	maps.DeleteFunc(all, func(window int64, _ Counts) bool { return window < first })
	return all
}

// MergeNode merges the counts of a node that are complete up to asOf by the node's clock.
func (t *UsageTable) MergeNode(node string, incarnation uint64, asOf time.Time, windows Windows) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if asOf.After(t.mu.asOf[node]) {
		t.mu.asOf[node] = asOf
	}
	for window, counts := range windows {
		t.merge(node, incarnation, window, counts)
	}
}

// merge keeps the larger of the known and the given counts. The caller holds the lock.
func (t *UsageTable) merge(node string, incarnation uint64, window int64, counts Counts) {
	incarnations := t.mu.counts[node]
	if incarnations == nil {
		incarnations = make(map[uint64]Windows)
		t.mu.counts[node] = incarnations
	}
	if incarnations[incarnation] == nil {
		incarnations[incarnation] = make(Windows)
	}
	if incarnations[incarnation][window] == nil {
		incarnations[incarnation][window] = make(Counts)
	}
	for w, n := range counts {
		incarnations[incarnation][window][w] = max(incarnations[incarnation][window][w], n)
	}
}

// refresh merges the counts of this incarnation and drops old windows. The caller holds
// the lock.
func (t *UsageTable) refresh(now time.Time) {
	own := t.meter.Snapshot()
	for window, counts := range own {
		t.merge(t.node, t.incarnation, window, counts)
	}
	first := t.meter.WindowAt(now) - keptWindows
	for node, incarnations := range t.mu.counts {
		for incarnation, windows := range incarnations {
			maps.DeleteFunc(windows, func(window int64, _ Counts) bool { return window < first })
			if len(windows) == 0 {
				delete(incarnations, incarnation)
			}
		}
		if len(incarnations) == 0 {
			delete(t.mu.counts, node)
		}
	}
	t.mu.asOf[t.node] = now
}

// MergeRecord merges the record of a node.
func (t *UsageTable) MergeRecord(r Record) {
	for incarnation, windows := range r.Incarnations {
		t.MergeNode(r.Node, incarnation, time.UnixMilli(r.AsOf), windows)
	}
}

// Record returns this node's record for the store.
func (t *UsageTable) Record(address string) Record {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	r := Record{Node: t.node, Address: address, AsOf: now.UnixMilli(), Incarnations: make(map[uint64]Windows)}
	for incarnation, windows := range t.mu.counts[t.node] {
		r.Incarnations[incarnation] = make(Windows, len(windows))
		for window, counts := range windows {
			r.Incarnations[incarnation][window] = maps.Clone(counts)
		}
	}
	return r
}

// Sum returns the counts of one window over all incarnations of all nodes.
func (t *UsageTable) Sum(now time.Time, window int64) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	out := make(Counts)
	for _, incarnations := range t.mu.counts {
		for _, windows := range incarnations {
			for w, n := range windows[window] {
				out[w] += n
			}
		}
	}
	return out
}

// Complete reports whether the counts of all given nodes are complete up to end.
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
