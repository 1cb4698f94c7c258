package config

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
)

// Holder stores the configuration in force on one node. Only a higher revision
// replaces it, whatever its source. A Holder is not safe for concurrent use.
type Holder struct {
	current     *Config
	digest      Digest
	deltas      []Delta // from older revisions up to the current one, oldest first
	deltaBytes  int     // total size of deltas
	confirmedAt time.Time
}

// maxDeltaBytes is the maximum total size of the deltas that a holder keeps to send to
// peers.
const maxDeltaBytes = 256 << 10

// Revision returns the revision in force, or zero if there is none.
func (h *Holder) Revision() ident.Revision {
	if h.current == nil {
		return 0
	}
	return h.current.Revision
}

// Current returns the configuration in force, or nil if there is none. It must not be
// modified.
func (h *Holder) Current() *Config { return h.current }

// Offer puts next in force if its revision is higher than the current one, and reports
// whether it did.
func (h *Holder) Offer(next *Config) bool {
	if next == nil || next.Revision <= h.Revision() {
		return false
	}
	digest := next.digest()
	if h.current != nil {
		h.addDelta(diff(h.current, next, h.digest, digest))
	}
	invariant.Check(next.Revision > h.Revision(), invariant.RevisionGrows,
		"revision %d follows %d", next.Revision, h.Revision())
	h.current, h.digest = next, digest
	return true
}

// addDelta appends a delta and evicts the oldest ones beyond maxDeltaBytes.
func (h *Holder) addDelta(d Delta) {
	h.deltas = append(h.deltas, d)
	h.deltaBytes += d.size()
	for len(h.deltas) > 1 && h.deltaBytes > maxDeltaBytes {
		h.deltaBytes -= h.deltas[0].size()
		h.deltas = h.deltas[1:]
	}
}

// Confirm records that at time now the revision in force was the newest one that its
// source knew of.
func (h *Holder) Confirm(now time.Time) {
	if now.After(h.confirmedAt) {
		h.confirmedAt = now
	}
}

// StaleFor returns the time since the revision in force was last confirmed, or the
// longest duration if it never was. A node that resumes after a pause uses it to
// decide whether it must catch up first.
func (h *Holder) StaleFor(now time.Time) time.Duration {
	if h.confirmedAt.IsZero() {
		return 1<<63 - 1
	}
	return max(0, now.Sub(h.confirmedAt))
}
