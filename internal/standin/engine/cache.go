package engine

import (
	"container/list"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
)

// maxEvents bounds the cache events that wait for a poll.
const maxEvents = 8192

// loggedEvent is a cache event and the time from which it can be polled.
type loggedEvent struct {
	event   endpoint.CacheEvent
	visible time.Time
}

// prefixCache holds the blocks of prompt prefixes, least recently used out first.
type prefixCache struct {
	limit  int // blocks
	delay  time.Duration
	blocks map[uint64]*list.Element // of uint64
	order  *list.List               // most recently used first
	seq    uint64
	events []loggedEvent
}

func newPrefixCache(limit int, delay time.Duration) *prefixCache {
	return &prefixCache{limit: limit, delay: delay, blocks: make(map[uint64]*list.Element), order: list.New()}
}

// match returns the number of leading blocks that are cached, and marks them used.
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

// add caches blocks; lost drops the event of a block.
func (c *prefixCache) add(now time.Time, chain []uint64, lost func() bool) {
	for _, b := range chain {
		if e, ok := c.blocks[b]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		c.log(now, b, true, lost())
		if c.order.Len() > c.limit {
			old := c.order.Remove(c.order.Back()).(uint64)
			delete(c.blocks, old)
			c.log(now, old, false, lost())
		}
	}
}

func (c *prefixCache) log(now time.Time, block uint64, added, lost bool) {
	c.seq++
	if lost {
		return
	}
	e := endpoint.CacheEvent{Seq: c.seq, Block: block, Added: added}
	c.events = append(c.events, loggedEvent{e, now.Add(c.delay)})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// after returns the events behind a sequence number that can be polled by now.
func (c *prefixCache) after(now time.Time, seq uint64) endpoint.CacheEvents {
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
