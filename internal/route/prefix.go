package route

import (
	"math/bits"
	"time"
)

// prefixEntry records which members of a subset have one block cached, as bits by
// slot.
type prefixEntry struct {
	block   uint64
	holders uint64
	recent  uint64 // those of holders that used the block since the last rotation
}

// prefixIndex maps blocks to their holders, the members that have the block cached,
// and has a limited number of entries. A block's hash covers the prompt up to the end
// of the block, so a holder of block i also holds the blocks before it.
//
// Entries expire in two generations: each rotation drops the holders that did not use
// the block since the previous rotation. A gap in an endpoint's cache events drops its
// entries of the older generation. Recently used entries are kept, as the engine
// evicts the least recently used blocks first.
type prefixIndex struct {
	maxEntries  int
	decay       time.Duration
	rotateAt    time.Time
	entryOf     map[uint64]int32 // block → entry
	entries     []prefixEntry
	free        []int32
	clockHand   int // position of the CLOCK eviction algorithm
	lastSeq     [MaxCandidates]uint64
	gaps        uint64
	staleEvents uint64
}

func newPrefixIndex(maxEntries int, decay time.Duration) *prefixIndex {
	return &prefixIndex{maxEntries: maxEntries, decay: decay, entryOf: make(map[uint64]int32)}
}

func (x *prefixIndex) len() int {
	return len(x.entryOf)
}

// add records that the member in slot has block cached.
func (x *prefixIndex) add(block uint64, slot int) {
	i, ok := x.entryOf[block]
	if !ok {
		i = x.alloc()
		x.entryOf[block] = i
		x.entries[i] = prefixEntry{block: block}
	}
	e := &x.entries[i]
	e.holders |= 1 << slot
	e.recent |= 1 << slot
}

// remove records that the member in slot no longer has block cached.
func (x *prefixIndex) remove(block uint64, slot int) {
	i, ok := x.entryOf[block]
	if !ok {
		return
	}
	x.retain(i, ^(uint64(1) << slot))
}

// retain drops the holders of an entry that are not in mask, and the entry itself if
// none remains.
func (x *prefixIndex) retain(i int32, mask uint64) {
	e := &x.entries[i]
	e.holders &= mask
	e.recent &= mask
	if e.holders == 0 {
		delete(x.entryOf, e.block)
		*e = prefixEntry{}
		x.free = append(x.free, i)
	}
}

// alloc returns a free entry. If the index is full, it evicts one that was not used
// recently.
func (x *prefixIndex) alloc() int32 {
	if n := len(x.free); n > 0 {
		i := x.free[n-1]
		x.free = x.free[:n-1]
		return i
	}
	if len(x.entries) < x.maxEntries {
		x.entries = append(x.entries, prefixEntry{})
		return int32(len(x.entries) - 1)
	}
	i := x.victim()
	delete(x.entryOf, x.entries[i].block)
	return i
}

// victim advances the clock hand to an entry of the older generation, for at most
// maxSteps entries, and returns the entry reached.
func (x *prefixIndex) victim() int32 {
	const maxSteps = 32
	for range maxSteps {
		x.clockHand = (x.clockHand + 1) % len(x.entries)
		e := &x.entries[x.clockHand]
		if e.recent == 0 {
			break
		}
		e.recent = 0
	}
	return int32(x.clockHand)
}

// holders returns the slots of the members that have block cached, as bits.
func (x *prefixIndex) holders(block uint64) uint64 {
	if i, ok := x.entryOf[block]; ok {
		return x.entries[i].holders
	}
	return 0
}

// match returns the largest number of leading blocks of chain that a member of mask
// has cached, and the members that have that many. It uses binary search, as the
// holders of a block also hold all blocks before it.
func (x *prefixIndex) match(chain []uint64, mask uint64) (n int, holders uint64) {
	lo, hi := 0, len(chain)
	for lo < hi {
		mid := (lo + hi + 1) / 2
		if h := x.holders(chain[mid-1]) & mask; h != 0 {
			lo, holders = mid, h
		} else {
			hi = mid - 1
		}
	}
	return lo, holders
}

// rotate drops the holders that were not used for a full generation.
func (x *prefixIndex) rotate(now time.Time) {
	if x.rotateAt.IsZero() {
		x.rotateAt = now.Add(x.decay)
	}
	if now.Before(x.rotateAt) {
		return
	}
	x.rotateAt = now.Add(x.decay)
	for i := range x.entries {
		if x.entries[i].holders != 0 {
			x.retain(int32(i), x.entries[i].recent)
			x.entries[i].recent = 0
		}
	}
}

// clear drops all entries of the members of mask.
func (x *prefixIndex) clear(mask uint64) {
	if mask == 0 {
		return
	}
	for i := range x.entries {
		if x.entries[i].holders&mask != 0 {
			x.retain(int32(i), ^mask)
		}
	}
	for m := mask; m != 0; m &= m - 1 {
		x.lastSeq[bits.TrailingZeros64(m)] = 0
	}
}

// handleGap drops the entries of the member in slot that it did not use since the last
// rotation.
func (x *prefixIndex) handleGap(slot int) {
	x.gaps++
	bit := uint64(1) << slot
	for i := range x.entries {
		e := &x.entries[i]
		if e.holders&bit != 0 && e.recent&bit == 0 {
			x.retain(int32(i), ^bit)
		}
	}
}
