package engine

import (
	"container/list"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
)

// maxEvents is the number of cache events kept for polling.
const maxEvents = 8192

// delayedEvent is a cache event that becomes visible to polls at a given time.
type delayedEvent struct {
	event   endpoint.CacheEvent
	visible time.Time
}

// prefixCache is an LRU cache of the blocks of prompt prefixes.
type prefixCache struct {
	limit  int // blocks
	delay  time.Duration
	blocks map[uint64]*list.Element // element values are uint64 blocks
	order  *list.List               // most recently used first
	seq    uint64
	events []delayedEvent
}

func newPrefixCache(limit int, delay time.Duration) *prefixCache {
	return &prefixCache{limit: limit, delay: delay, blocks: make(map[uint64]*list.Element), order: list.New()}
}

// match returns the number of leading blocks that are cached, and marks them as most recently used.
func (c *prefixCache) match(chain []uint64) int {
	for i, b := range chain {
		e, ok := c.blocks[b]
		if !ok {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(chain)
}

// add caches blocks. dropEvent reports whether to drop the event of a block.
func (c *prefixCache) add(now time.Time, chain []uint64, dropEvent func() bool) {
	for _, b := range chain {
		if e, ok := c.blocks[b]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		c.appendEvent(now, b, true, dropEvent())
		if c.order.Len() > c.limit {
			old := c.order.Remove(c.order.Back()).(uint64)
			delete(c.blocks, old)
			c.appendEvent(now, old, false, dropEvent())
		}
	}
}

func (c *prefixCache) appendEvent(now time.Time, block uint64, added, dropped bool) {
	c.seq++
	if dropped {
		return
	}
	e := endpoint.CacheEvent{Seq: c.seq, Block: block, Added: added}
	c.events = append(c.events, delayedEvent{e, now.Add(c.delay)})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// eventsAfter returns the events after a sequence number that are visible at now.
func (c *prefixCache) eventsAfter(now time.Time, seq uint64) endpoint.CacheEvents {
	out := endpoint.CacheEvents{Events: []endpoint.CacheEvent{}}
	for _, e := range c.events {
		if e.event.Seq <= seq || e.visible.After(now) {
			continue
		}
		out.Gap = out.Gap || e.event.Seq != seq+1
		seq = e.event.Seq
		out.Events = append(out.Events, e.event)
	}
	return out
}
