package mover

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/move"
)

// exchange is what nodes send each other. All of it merges in any order, any
// number of times.
type exchange struct {
	Entries []move.Entry  `json:"entries,omitempty"`
	Marks   []move.Mark   `json:"marks,omitempty"`
	Records []move.Record `json:"records,omitempty"`
}

// Delta returns the evidence that changed since the last call, and all marks and
// records. It returns nil where there is nothing to send.
func (m *Mover) Delta() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.encodeLocked(m.mu.evidence.Changed())
}

// Full returns all that this node knows.
func (m *Mover) Full() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.encodeLocked(m.mu.evidence.All())
}

func (m *Mover) encodeLocked(entries []move.Entry) ([]byte, error) {
	x := exchange{Entries: entries}
	for _, name := range slices.Sorted(maps.Keys(m.mu.controllers)) {
		c := m.mu.controllers[name]
		if mark, ok := c.Mark(); ok {
			x.Marks = append(x.Marks, mark)
		}
		if r := c.Record(); r.State != "" {
			r.Evidence = nil // kept in the store; others have the counters
			x.Records = append(x.Records, r)
		}
	}
	if len(x.Entries)+len(x.Marks)+len(x.Records) == 0 {
		return nil, nil
	}
	return json.Marshal(x)
}

// Receive merges what another node sent. Marks are in force when it returns.
func (m *Mover) Receive(b []byte) error {
	var x exchange
	if err := json.Unmarshal(b, &x); err != nil {
		return errors.Wrap(err, "decode evidence of a peer")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mu.evidence.Merge(x.Entries)
	for _, mark := range x.Marks {
		m.controllerLocked(mark.Move).Marked(mark)
	}
	for _, r := range x.Records {
		m.controllerLocked(r.Move).Learn(r)
	}
	if cfg := m.opts.Config(); cfg != nil {
		m.publishLocked(cfg)
	}
	return nil
}
