package config

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
)

// Holder keeps the configuration in force on one node. Only a higher revision
// takes the place of the one in force, whoever brings it. It is not safe for
// concurrent use.
type Holder struct {
	current   *Config
	digest    Digest
	deltas    []Delta // from older revisions up to the current one, oldest first
	bytes     int     // of the deltas
	confirmed time.Time
}

// maxDeltaBytes bounds the deltas that a holder keeps for others.
const maxDeltaBytes = 256 << 10

// Revision returns the revision in force, zero where there is none.
func (h *Holder) Revision() ident.Revision {
	if h.current == nil {
		return 0
	}
	return h.current.Revision
}

// Current returns the configuration in force, nil where there is none. It must
// not be changed.
func (h *Holder) Current() *Config { return h.current }

// Offer puts next in force where its revision is higher. It reports whether it did.
func (h *Holder) Offer(next *Config) bool {
	if next == nil || next.Revision <= h.Revision() {
		return false
	}
	digest := next.digest()
	if h.current != nil {
		h.remember(diff(h.current, next, h.digest, digest))
	}
	invariant.Check(next.Revision > h.Revision(), invariant.RevisionGrows,
		"revision %d follows %d", next.Revision, h.Revision())
	h.current, h.digest = next, digest
	return true
}

// remember keeps a delta and forgets the oldest ones past the bound.
func (h *Holder) remember(d Delta) {
	h.deltas = append(h.deltas, d)
	h.bytes += d.size()
	for len(h.deltas) > 1 && h.bytes > maxDeltaBytes {
		h.bytes -= h.deltas[0].size()
		h.deltas = h.deltas[1:]
	}
}

// Confirm records that the revision in force was the newest known to its source
// at the time now.
func (h *Holder) Confirm(now time.Time) {
	if now.After(h.confirmed) {
		h.confirmed = now
	}
}

// StaleFor returns how long ago the revision in force was last confirmed. A node
// back from a pause catches up where this is longer than it may be.
func (h *Holder) StaleFor(now time.Time) time.Duration {
	if h.confirmed.IsZero() {
		return 1<<63 - 1
	}
	return max(0, now.Sub(h.confirmed))
}
