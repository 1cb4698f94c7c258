package move

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Source identifies one incarnation of a node. A restarted node counts from zero
// again, as another source.
type Source struct {
	Node        ident.NodeID      `json:"node"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// Key identifies one counter.
type Key struct {
	Service ident.Service   `json:"service"`
	Version ident.Version   `json:"version"`
	Route   ident.RouteName `json:"route"`
	Source  Source          `json:"source"`
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Route, b.Route), cmp.Compare(a.Source.Node, b.Source.Node),
		cmp.Compare(a.Source.Incarnation, b.Source.Incarnation),
	)
}

// Entry is a counter with its key, in the form in which nodes exchange it.
type Entry struct {
	Key     Key     `json:"key"`
	Counter Counter `json:"counter"`
}

// Outcome describes the end of one request.
type Outcome struct {
	Service   ident.Service
	Version   ident.Version
	Route     ident.RouteName
	Workspace ident.Workspace
	Result    Result
	// Latency is the time from the dispatch to the endpoint to the first token of a
	// stream, or to the end of a response that is not streamed.
	Latency time.Duration
	// Size is the size of the response in tokens, or in bytes for plain services.
	Size int
}

// Evidence contains the counters that one node knows, its own and those of others.
// Merging is commutative, associative and idempotent, so that messages between
// nodes may be delayed, repeated or reordered. Counters are kept after a move has
// ended: others would ignore a counter that restarted from zero, as they keep the
// maximum. Evidence is not safe for concurrent use.
type Evidence struct {
	self     Source
	counters map[Key]*Counter
	changed  map[Key]bool // since the last call of Changed
}

// NewEvidence returns the evidence of node self, without any counters.
func NewEvidence(self Source) *Evidence {
	return &Evidence{self: self, counters: make(map[Key]*Counter), changed: make(map[Key]bool)}
}

// Record counts a request that this node has sent.
func (e *Evidence) Record(o Outcome) {
	key := Key{Service: o.Service, Version: o.Version, Route: o.Route, Source: e.self}
	e.counter(key).add(o)
	e.changed[key] = true
}

func (e *Evidence) counter(key Key) *Counter {
	c := e.counters[key]
	if c == nil {
		c = &Counter{}
		e.counters[key] = c
	}
	return c
}

// Merge merges entries received from another node.
func (e *Evidence) Merge(entries []Entry) {
	for _, in := range entries {
		if in.Key.Source == e.self {
			continue // no other node has newer values of this node's own counters
		}
		c := e.counter(in.Key)
		before := *c
		c.merge(&in.Counter)
		if *c != before {
			e.changed[in.Key] = true
		}
	}
}

// Changed returns the entries that changed since the last call, ordered by key.
func (e *Evidence) Changed() []Entry {
	keys := make([]Key, 0, len(e.changed))
	for key := range e.changed {
		keys = append(keys, key)
	}
	clear(e.changed)
	return e.entries(keys)
}

// All returns all entries, ordered by key.
func (e *Evidence) All() []Entry {
	keys := make([]Key, 0, len(e.counters))
	for key := range e.counters {
		keys = append(keys, key)
	}
	return e.entries(keys)
}

func (e *Evidence) entries(keys []Key) []Entry {
	slices.SortFunc(keys, compareKeys)
	out := make([]Entry, len(keys))
	for i, key := range keys {
		out[i] = Entry{Key: key, Counter: *e.counters[key]}
	}
	return out
}

// Totals contains the counters of one version by route, summed over nodes.
type Totals map[ident.RouteName]*Counter

// route returns the counter of a route, which must not be modified.
func (t Totals) route(route ident.RouteName) *Counter {
	if c := t[route]; c != nil {
		return c
	}
	return &emptyCounter
}

var emptyCounter Counter

// Totals returns the totals of one version of a service.
func (e *Evidence) Totals(service ident.Service, version ident.Version) Totals {
	out := make(Totals)
	for key, c := range e.counters {
		if key.Service != service || key.Version != version {
			continue
		}
		total := out[key.Route]
		if total == nil {
			total = &Counter{}
			out[key.Route] = total
		}
		total.sum(c)
	}
	return out
}
