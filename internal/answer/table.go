package answer

import (
	"sort"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Defaults of a table.
const (
	DefaultRetention = 2 * time.Minute // of an answer that ended
	DefaultMaxBytes  = 16 << 20        // of answers that ended
)

// Table holds a node's answers by request ID. Answers in progress always stay;
// those that ended stay for Retention, and fewer where they exceed MaxBytes.
type Table struct {
	Retention time.Duration
	MaxBytes  int

	mu struct {
		sync.Mutex
		byID map[ident.RequestID]*Answer
	}
}

// NewTable returns a table with the default bounds.
func NewTable() *Table {
	t := &Table{Retention: DefaultRetention, MaxBytes: DefaultMaxBytes}
	t.mu.byID = make(map[ident.RequestID]*Answer)
	return t
}

// Add puts an answer into the table. It returns the one already there under
// that ID, and false, where there is one. One that moved away gives way to the
// same answer that comes back.
func (t *Table) Add(a *Answer) (*Answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.mu.byID[a.ID]; ok && !old.End().HandedOver {
		return old, false
	}
	t.mu.byID[a.ID] = a
	return a, true
}

// Get returns the answer to a request, or nil.
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

// Expire forgets answers past their retention, and the oldest ones while all
// that ended exceed MaxBytes.
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
