package answer

import (
	"sort"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Default limits of a Table for answers that have ended.
const (
	DefaultRetention = 2 * time.Minute // time for which each is kept
	DefaultMaxBytes  = 16 << 20        // total size in bytes
)

// Table stores a node's answers by request ID. Answers in progress are never
// removed. Answers that have ended are kept for Retention; the oldest of them are
// removed earlier while they exceed MaxBytes in total.
type Table struct {
	Retention time.Duration
	MaxBytes  int

	mu struct {
		sync.Mutex
		byID map[ident.RequestID]*Answer
	}
}

// NewTable returns an empty table with the default limits.
func NewTable() *Table {
	t := &Table{Retention: DefaultRetention, MaxBytes: DefaultMaxBytes}
	t.mu.byID = make(map[ident.RequestID]*Answer)
	return t
}

// Add adds an answer to the table and returns it. If the table already contains an
// answer with that ID, Add returns the existing one and false, unless the existing
// one was handed over: it is replaced when the answer is handed back to this node.
func (t *Table) Add(a *Answer) (*Answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.mu.byID[a.ID]; ok && !old.End().HandedOver {
		return old, false
	}
	t.mu.byID[a.ID] = a
	return a, true
}

// Get returns the answer to a request, or nil if there is none.
func (t *Table) Get(id ident.RequestID) *Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mu.byID[id]
}

// InProgress returns the answers that have not ended, ordered by ID.
func (t *Table) InProgress() []*Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*Answer
	for _, a := range t.mu.byID {
		if _, done, _ := a.endedAt(); !done {
			out = append(out, a)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

type endedAnswer struct {
	id    ident.RequestID
	ended time.Time
	size  int
}

// Expire removes answers that ended more than Retention before now, and then the
// oldest ones while the answers that have ended exceed MaxBytes in total.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var kept []endedAnswer
	total := 0
	for id, a := range t.mu.byID {
		ended, done, size := a.endedAt()
		if !done {
			continue
		}
		if now.Sub(ended) > t.Retention {
			delete(t.mu.byID, id)
			continue
		}
		kept = append(kept, endedAnswer{id, ended, size})
		total += size
	}
	sort.Slice(kept, func(i, j int) bool { return kept[i].ended.Before(kept[j].ended) })
	for _, e := range kept {
		if total <= t.MaxBytes {
			return
		}
		delete(t.mu.byID, e.id)
		total -= e.size
	}
}
