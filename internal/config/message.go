package config

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// message is sent from node to node. It contains either the deltas from the receiver's
// revision to the sender's current one, or the full configuration.
type message struct {
	Full   *Config `json:"full,omitempty"`
	Digest Digest  `json:"digest,omitempty"` // of Full
	Deltas []Delta `json:"deltas,omitempty"`
}

// minCompressBytes is the encoded size in bytes from which a message is compressed.
const minCompressBytes = 1 << 10

// gzipMagic is the first byte of a compressed message. JSON never begins with it.
const gzipMagic = 0x1f

// Message returns the encoded message that updates a node from revision since to the
// revision in force: deltas if they are available and smaller, otherwise the full
// configuration. It returns nil if since is not older.
func (h *Holder) Message(since ident.Revision) ([]byte, error) {
	if since >= h.Revision() {
		return nil, nil
	}
	full, err := encodeMessage(message{Full: h.current, Digest: h.digest})
	if err != nil {
		return nil, err
	}
	chain, ok := h.deltasFrom(since)
	if !ok {
		return full, nil
	}
	short, err := encodeMessage(message{Deltas: chain})
	if err != nil || len(short) >= len(full) {
		return full, err
	}
	return short, nil
}

// deltasFrom returns the deltas from a revision to the one in force, and whether they are
// available.
func (h *Holder) deltasFrom(since ident.Revision) ([]Delta, bool) {
	for i, d := range h.deltas {
		if d.Base == since {
			return h.deltas[i:], true
		}
	}
	return nil, false
}

// Receive applies a message if it leads to a higher revision, and reports whether it
// did. It returns ErrNeedFull if the message's deltas do not apply to the revision in
// force, and another error if the message cannot be decoded or has a wrong digest.
func (h *Holder) Receive(b []byte) (bool, error) {
	m, err := decodeMessage(b)
	if err != nil {
		return false, errors.Wrap(err, "decode configuration message")
	}
	if m.Full != nil {
		if m.Full.digest() != m.Digest {
			return false, errors.Newf("digest mismatch in configuration of revision %d", m.Full.Revision)
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
	if err != nil || len(b) < minCompressBytes {
		return b, err
	}
	return encodeGzipJSON(m)
}

func decodeMessage(b []byte) (message, error) {
	var m message
	var err error
	if len(b) > 0 && b[0] == gzipMagic {
		err = decodeGzipJSON(b, &m)
	} else {
		err = json.Unmarshal(b, &m)
	}
	return m, err
}
