package placement

import (
	"maps"
	"slices"
	"time"
)

// An engine can have KV cache from another one over their links, which takes a part
// of the time of reading the tokens again. A request that goes to an engine without
// the prefix that it shares therefore names one that likely has it.

const (
	// fetchSetup is the time of a fetch beside its transfer: some round trips.
	fetchSetup = 3 * time.Millisecond
	// fetchWeight is what a fetched token costs beside its transfer, as a part of what
	// reading it again costs beside its time: transfers are priced at about that.
	fetchWeight = 0.2
	// remoteFetch is the time of a transfer between data centres, as a multiple.
	remoteFetch = 2
	// minFetch is the least number of tokens worth a fetch: with fewer its set-up takes
	// longer than the reading, but trials down to 150 had fewer tokens read again and no
	// more answers late (docs/design/placement.md).
	minFetch = 150
	// tellFor is how long a node tells the others of a prefix that it has sent somewhere:
	// all have heard of it after some rounds of their exchange.
	tellFor = 2 * time.Second
	// maxTold bounds the prefixes that a node tells of at once, and maxKnown those known
	// of one endpoint.
	maxTold  = 64
	maxKnown = 2048
)

// holder is an endpoint that likely has leading tokens of a prompt in its cache.
type holder struct {
	*member
	tokens int
}

// PrefixLocation tells that an endpoint, named by a hash, holds a prefix since a node has sent a
// request with it there.
type PrefixLocation struct {
	Prefix   uint64
	Endpoint uint32
}

// sentPrefix is a prefix that this node has sent somewhere.
type sentPrefix struct {
	PrefixLocation
	at time.Time
}

// note remembers that a prompt's prefix was sent to an endpoint.
func (t *Table) note(now time.Time, m *member, p Prompt) {
	if m.engine == nil || m.engine.LinkBytes <= 0 || p.sharedTokens() < homeTokens {
		return
	}
	t.sent = append(t.sent, sentPrefix{PrefixLocation{p.prefix(), uint32(m.hash)}, now})
}

// RecentPrefixes returns where this node has lately sent prefixes, to be told to the others.
func (t *Table) RecentPrefixes(now time.Time) []PrefixLocation {
	t.sent = slices.DeleteFunc(t.sent, func(s sentPrefix) bool { return now.Sub(s.at) > tellFor })
	if n := len(t.sent); n > maxTold {
		t.sent = slices.Delete(t.sent, 0, n-maxTold)
	}
	out := make([]PrefixLocation, 0, len(t.sent))
	for _, s := range t.sent {
		out = append(out, s.PrefixLocation)
	}
	return out
}

// AddPeerPrefixes takes what another node has told of prefixes.
func (t *Table) AddPeerPrefixes(now time.Time, held []PrefixLocation) {
	for _, h := range held {
		m := t.byHash[h.Endpoint]
		if m == nil {
			continue // it has ended, or is not listed here yet
		}
		if len(m.told) >= maxKnown {
			maps.DeleteFunc(m.told, func(_ uint64, at time.Time) bool { return now.Sub(at) > t.opts.CacheRetention/2 })
		}
		m.told[h.Prefix] = now
	}
}

// cachedTokens returns how many leading tokens of a prompt an endpoint likely holds.
func (t *Table) cachedTokens(now time.Time, m *member, p Prompt) int {
	own := m.cache.prefix(now, p.Segments, t.opts.CacheRetention)
	shared := p.sharedTokens()
	if own >= shared || shared == 0 {
		return own
	}
	if at, ok := m.told[p.prefix()]; ok && now.Sub(at) <= t.opts.CacheRetention {
		return shared
	}
	return own
}

// holders returns the endpoints that likely hold a prompt's shared prefix, those with
// most of it first. Endpoints that fail hold nothing that can be had; leaving ones
// still do.
func (t *Table) holders(now time.Time, s *service, r Request) []holder {
	shared := r.Prompt.sharedTokens()
	if r.Imported || shared < homeTokens || len(s.members) == 0 || s.members[0].engine == nil || s.members[0].engine.LinkBytes <= 0 {
		return nil
	}
	var out []holder
	for _, m := range s.members {
		if !m.missing.IsZero() || m.health.out(now) {
			continue
		}
		if n := min(t.cachedTokens(now, m, r.Prompt), shared); n >= minFetch {
			out = append(out, holder{m, n})
		}
	}
	slices.SortStableFunc(out, func(a, b holder) int { return b.tokens - a.tokens })
	return out
}

// fetch returns the endpoint that m should have cache from, and how many tokens more
// than the cached ones come from there: the most, and of these the nearest.
func (m *member) fetch(holders []holder, cached int) (*member, int) {
	var best holder
	for _, h := range holders {
		if h.member == m || h.tokens-cached < minFetch || h.tokens < best.tokens {
			continue
		}
		if best.member == nil || best.DataCentre != m.DataCentre && h.DataCentre == m.DataCentre {
			best = h
		}
	}
	if best.member == nil {
		return nil, 0
	}
	return best.member, best.tokens - cached
}

// fetchTime returns the time that a transfer takes.
func (m *member) fetchTime(from *member, tokens int) time.Duration {
	took := float64(tokens) * m.engine.TokenBytes / m.engine.LinkBytes
	if m.DataCentre != from.DataCentre {
		took *= remoteFetch
	}
	return fetchSetup + seconds(took)
}
