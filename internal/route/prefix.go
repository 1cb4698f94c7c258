package route

import (
	"math/bits"
	"time"
)

// prefixEntry tells which members of a subset hold one block, as bits by slot.
type prefixEntry struct {
	block uint64
	held  uint64
	young uint64 // of held: used since the last rotation
}

// prefixIndex is a bounded map from blocks to their holders. A block's hash covers
// the prompt up to its end, so that holding block i implies holding those before.
//
// Entries decay in two generations: at each rotation a holder not seen since the
// last one is dropped. A gap in an endpoint's cache events drops its entries of
// the older generation; those used lately are kept, as the engine evicts the
// least recently used first.
type prefixIndex struct {
	limit    int
	decay    time.Duration
	rotateAt time.Time
	slots    map[uint64]int32 // block → entry
	entries  []prefixEntry
	free     []int32
	hand     int // of the clock that evicts
	seq      [MaxCandidates]uint64
	gaps     uint64
	stale    uint64
}

func newPrefixIndex(limit int, decay time.Duration) *prefixIndex {
	return &prefixIndex{limit: limit, decay: decay, slots: make(map[uint64]int32)}
}

func (x *prefixIndex) len() int {
	return len(x.slots)
}

// add notes that the member in slot holds block.
func (x *prefixIndex) add(block uint64, slot int) {
	i, ok := x.slots[block]
	if !ok {
		i = x.alloc()
		x.slots[block] = i
		x.entries[i] = prefixEntry{block: block}
	}
	e := &x.entries[i]
	e.held |= 1 << slot
	e.young |= 1 << slot
}

// remove notes that the member in slot no longer holds block.
func (x *prefixIndex) remove(block uint64, slot int) {
	i, ok := x.slots[block]
	if !ok {
		return
	}
	x.keep(i, ^(uint64(1) << slot))
}

// keep drops the holders of an entry that are not in mask, and the entry with its
// last holder.
func (x *prefixIndex) keep(i int32, mask uint64) {
	e := &x.entries[i]
	e.held &= mask
	e.young &= mask
	if e.held == 0 {
		delete(x.slots, e.block)
		*e = prefixEntry{}
		x.free = append(x.free, i)
	}
}

// alloc returns a free entry, evicting one that was not used lately where the
// index is full.
func (x *prefixIndex) alloc() int32 {
	if n := len(x.free); n > 0 {
		i := x.free[n-1]
		x.free = x.free[:n-1]
		return i
	}
	if len(x.entries) < x.limit {
		x.entries = append(x.entries, prefixEntry{})
		return int32(len(x.entries) - 1)
	}
	i := x.victim()
	delete(x.slots, x.entries[i].block)
	return i
}

// victim advances the clock to an entry of the older generation, for a bounded
// number of steps.
func (x *prefixIndex) victim() int32 {
	const maxSteps = 32
	for range maxSteps {
		x.hand = (x.hand + 1) % len(x.entries)
		e := &x.entries[x.hand]
		if e.young == 0 {
			break
		}
		e.young = 0
	}
	return int32(x.hand)
}

// holders returns the members that hold block.
func (x *prefixIndex) holders(block uint64) uint64 {
	if i, ok := x.slots[block]; ok {
		return x.entries[i].held
	}
	return 0
}

// match returns how many leading blocks of chain the members of mask hold, and
// which of them hold that many. It searches by halves, as holders are nested.
func (x *prefixIndex) match(chain []uint64, mask uint64) (n int, who uint64) {
	lo, hi := 0, len(chain)
	for lo < hi {
		mid := (lo + hi + 1) / 2
		if h := x.holders(chain[mid-1]) & mask; h != 0 {
			lo, who = mid, h
		} else {
			hi = mid - 1
		}
	}
	return lo, who
}

// rotate drops what was not used for a whole generation.
func (x *prefixIndex) rotate(now time.Time) {
	if x.rotateAt.IsZero() {
		x.rotateAt = now.Add(x.decay)
	}
	if now.Before(x.rotateAt) {
		return
	}
	x.rotateAt = now.Add(x.decay)
	for i := range x.entries {
		if x.entries[i].held != 0 {
			x.keep(int32(i), x.entries[i].young)
			x.entries[i].young = 0
		}
	}
}

// clear drops all entries of the members of mask.
func (x *prefixIndex) clear(mask uint64) {
	if mask == 0 {
		return
	}
	for i := range x.entries {
		if x.entries[i].held&mask != 0 {
			x.keep(int32(i), ^mask)
		}
	}
	for m := mask; m != 0; m &= m - 1 {
		x.seq[bits.TrailingZeros64(m)] = 0
	}
}

// gap drops the entries of the member in slot that were not used lately.
func (x *prefixIndex) gap(slot int) {
	x.gaps++
	bit := uint64(1) << slot
	for i := range x.entries {
		e := &x.entries[i]
		if e.held&bit != 0 && e.young&bit == 0 {
			x.keep(int32(i), ^bit)
		}
	}
}
