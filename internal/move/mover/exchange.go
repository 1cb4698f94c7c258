package mover

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/move"
)

// peerMessage is a message between nodes. Its contents may be merged in any order and
// repeatedly.
type peerMessage struct {
	Entries []move.Entry  `json:"entries,omitempty"`
	Marks   []move.Mark   `json:"marks,omitempty"`
	Records []move.Record `json:"records,omitempty"`
}

// Delta returns an encoded message with the evidence that changed since the last
// call, and the marks and records of the moves that are in progress or have ended
// since then. It returns nil if there is nothing to send. Because messages may be
// lost, nodes must also send each other the result of Full periodically.
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

// Full returns an encoded message with all evidence, marks and records that this
// node knows. It returns nil if there are none.
func (m *Mover) Full() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.encodeLocked(m.mu.evidence.All(), allMoves)
}

func allMoves(ident.MoveName, move.Record) bool { return true }

func (m *Mover) encodeLocked(entries []move.Entry, include func(ident.MoveName, move.Record) bool) ([]byte, error) {
	x := m.decisionsLocked(include)
	x.Entries = entries
	if len(x.Entries)+len(x.Marks)+len(x.Records) == 0 {
		return nil, nil
	}
	return json.Marshal(x)
}

// decisionsLocked returns a message with the marks and records of the moves for which
// include returns true.
func (m *Mover) decisionsLocked(include func(ident.MoveName, move.Record) bool) peerMessage {
	var x peerMessage
	for _, name := range slices.Sorted(maps.Keys(m.mu.controllers)) {
		c := m.mu.controllers[name]
		if !include(name, c.Record()) {
			continue
		}
		if mark, ok := c.Mark(); ok {
			x.Marks = append(x.Marks, mark)
		}
		if r := c.Record(); r.State != "" {
			r.Evidence = nil // kept in the store; other nodes have the counters
			x.Records = append(x.Records, r)
		}
	}
	return x
}

// LocalEvidence returns the evidence that this node counted itself, ordered by key.
func (m *Mover) LocalEvidence() []move.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := move.Source{Node: m.opts.Self.Node, Incarnation: m.opts.Self.Incarnation}
	return slices.DeleteFunc(m.mu.evidence.All(), func(e move.Entry) bool { return e.Key.Source != self })
}

// Decisions returns the marks and records that this node knows, ordered by move.
func (m *Mover) Decisions() ([]move.Mark, []move.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.decisionsLocked(allMoves)
	return x.Marks, x.Records
}

// MergeEvidence merges evidence of other nodes.
func (m *Mover) MergeEvidence(entries []move.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mu.evidence.Merge(entries)
}

// MergeMark applies a mark of another node. The mark is in force when MergeMark
// returns.
func (m *Mover) MergeMark(mark move.Mark) {
	m.merge(peerMessage{Marks: []move.Mark{mark}})
}

// MergeRecord applies a record received from another node if it is newer than the
// one known.
func (m *Mover) MergeRecord(r move.Record) {
	m.merge(peerMessage{Records: []move.Record{r}})
}

// Receive merges a message that another node encoded with Delta or Full. Marks are in
// force when it returns.
func (m *Mover) Receive(b []byte) error {
	var x peerMessage
	if err := json.Unmarshal(b, &x); err != nil {
		return errors.Wrap(err, "decode peer message")
	}
	m.merge(x)
	return nil
}

func (m *Mover) merge(x peerMessage) {
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
		m.publishSplitsLocked(cfg)
	}
}
