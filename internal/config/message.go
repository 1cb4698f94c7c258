package config

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// message is what one node sends another: the deltas that lead from a revision
// the receiver has to the current one, or the full configuration.
type message struct {
	Full   *Config `json:"full,omitempty"`
	Digest Digest  `json:"digest,omitempty"` // of Full
	Deltas []Delta `json:"deltas,omitempty"`
}

// compressAbove is the size from which a message is compressed.
const compressAbove = 1 << 10

// gzipMagic is the first byte of a compressed message; JSON never begins with it.
const gzipMagic = 0x1f

// Message returns what a node with revision since needs to get to the revision
// in force: deltas where they are kept and smaller, the full configuration
// otherwise. It returns nil where since is not older.
func (h *Holder) Message(since ident.Revision) ([]byte, error) {
	if since >= h.Revision() {
		return nil, nil
	}
	full, err := encodeMessage(message{Full: h.current, Digest: h.digest})
	if err != nil {
		return nil, err
	}
	chain, ok := h.chain(since)
	if !ok {
		return full, nil
	}
	short, err := encodeMessage(message{Deltas: chain})
	if err != nil || len(short) >= len(full) {
		return full, err
	}
	return short, nil
}

// chain returns the deltas from a revision to the one in force.
func (h *Holder) chain(since ident.Revision) ([]Delta, bool) {
	for i, d := range h.deltas {
		if d.Base == since {
			return h.deltas[i:], true
		}
	}
	return nil, false
}

// Receive puts a message in force where it leads to a higher revision. It
// returns ErrNeedFull where the message's deltas do not follow the revision in
// force, and another error for a message that cannot be decoded.
func (h *Holder) Receive(b []byte) (bool, error) {
	m, err := decodeMessage(b)
	if err != nil {
		return false, errors.Wrap(err, "decode configuration message")
	}
	if m.Full != nil {
		if m.Full.digest() != m.Digest {
			return false, errors.Newf("configuration of revision %d has another digest", m.Full.Revision)
		}
		return h.Offer(m.Full), nil
	}
	return h.receiveDeltas(m.Deltas)
}

func (h *Holder) receiveDeltas(deltas []Delta) (bool, error) {
	next := h.current
	for _, d := range deltas {
		if next != nil && d.Revision <= next.Revision {
			continue
		}
		if next == nil {
			return false, errors.Wrap(ErrNeedFull, "no revision is in force")
		}
		var err error
		if next, err = next.Apply(d); err != nil {
			return false, err
		}
	}
	return h.Offer(next), nil
}

func encodeMessage(m message) ([]byte, error) {
	b, err := json.Marshal(m)
	if err != nil || len(b) < compressAbove {
		return b, err
	}
	return pack(m)
}

func decodeMessage(b []byte) (message, error) {
	var m message
	var err error
	if len(b) > 0 && b[0] == gzipMagic {
		err = unpack(b, &m)
	} else {
		err = json.Unmarshal(b, &m)
	}
	return m, err
}
