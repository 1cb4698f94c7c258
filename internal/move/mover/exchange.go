package mover

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/move"
)

// exchange is what nodes send each other. All of it merges in any order, any
// number of times.
type exchange struct {
	Entries []move.Entry  `json:"entries,omitempty"`
	Marks   []move.Mark   `json:"marks,omitempty"`
	Records []move.Record `json:"records,omitempty"`
}

// Delta returns the evidence that changed since the last call, and the marks and
// records of the moves that are under way or came to their end since. It returns
// nil where there is nothing to send. As a message may be lost, nodes send each
// other Full now and then.
func (m *Mover) Delta() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.encodeLocked(m.mu.evidence.Changed(), func(name ident.MoveName, r move.Record) bool {
		if r.State.Terminal() && m.mu.sent[name] == r.Sequence {
			return false
		}
		m.mu.sent[name] = r.Sequence
		return true
	})
}

// Full returns all that this node knows.
func (m *Mover) Full() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.encodeLocked(m.mu.evidence.All(), all)
}

func all(ident.MoveName, move.Record) bool { return true }

func (m *Mover) encodeLocked(entries []move.Entry, wanted func(ident.MoveName, move.Record) bool) ([]byte, error) {
	x := m.decisionsLocked(wanted)
	x.Entries = entries
	if len(x.Entries)+len(x.Marks)+len(x.Records) == 0 {
		return nil, nil
	}
	return json.Marshal(x)
}

// decisionsLocked returns the marks and records of the moves wanted.
func (m *Mover) decisionsLocked(wanted func(ident.MoveName, move.Record) bool) exchange {
	var x exchange
	for _, name := range slices.Sorted(maps.Keys(m.mu.controllers)) {
		c := m.mu.controllers[name]
		if !wanted(name, c.Record()) {
			continue
		}
		if mark, ok := c.Mark(); ok {
			x.Marks = append(x.Marks, mark)
		}
		if r := c.Record(); r.State != "" {
			r.Evidence = nil // kept in the store; others have the counters
			x.Records = append(x.Records, r)
		}
	}
	return x
}

// Own returns the evidence that this node counted itself, ordered by key.
func (m *Mover) Own() []move.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := move.Source{Node: m.opts.Self.Node, Incarnation: m.opts.Self.Incarnation}
	return slices.DeleteFunc(m.mu.evidence.All(), func(e move.Entry) bool { return e.Key.Source != self })
}

// Decisions returns the marks and records that this node knows, ordered by move.
func (m *Mover) Decisions() ([]move.Mark, []move.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.decisionsLocked(all)
	return x.Marks, x.Records
}

// MergeEvidence takes evidence of other nodes.
func (m *Mover) MergeEvidence(entries []move.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mu.evidence.Merge(entries)
}

// MergeMark takes a mark of another node; it is in force when MergeMark returns.
func (m *Mover) MergeMark(mark move.Mark) {
	m.merge(exchange{Marks: []move.Mark{mark}})
}

// MergeRecord takes a record that another node knows.
func (m *Mover) MergeRecord(r move.Record) {
	m.merge(exchange{Records: []move.Record{r}})
}

// Receive merges what another node sent. Marks are in force when it returns.
func (m *Mover) Receive(b []byte) error {
	var x exchange
	if err := json.Unmarshal(b, &x); err != nil {
		return errors.Wrap(err, "decode evidence of a peer")
	}
	m.merge(x)
	return nil
}

func (m *Mover) merge(x exchange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mu.evidence.Merge(x.Entries)
	for _, mark := range x.Marks {
		m.controllerLocked(mark.Move).ApplyMark(mark)
	}
	for _, r := range x.Records {
		m.controllerLocked(r.Move).ApplyRecord(r)
	}
	if cfg := m.opts.Config(); cfg != nil {
		m.publishLocked(cfg)
	}
}
