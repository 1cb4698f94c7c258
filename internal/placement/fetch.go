package placement

import (
	"maps"
	"slices"
	"time"
)

// An engine can fetch KV cache from another engine over the network, which takes a fraction
// of the time of recomputing it. A request that goes to an engine without its shared prefix
// therefore names an engine that likely has the prefix.

const (
	// fetchSetupTime is the time of a fetch in addition to the transfer: a few round trips.
	fetchSetupTime = 3 * time.Millisecond
	// fetchWeight is the cost of a fetched token in addition to its transfer time, as a
	// fraction of the additional cost of recomputing it: about the ratio of their charges.
	fetchWeight = 0.2
	// remoteFetchFactor is the time of a transfer between data centres, as a multiple of
	// the time within one.
	remoteFetchFactor = 2
	// minFetchTokens is the smallest number of tokens worth a fetch. Near this minimum the
	// setup takes longer than recomputing the tokens, but the fetch saves the recomputation
	// and the additional delay is too short to make more responses late
	// (docs/design/placement.md).
	minFetchTokens = 150
	// advertiseTime is how long a node advertises the location of a prefix: all nodes have
	// received it after several gossip rounds.
	advertiseTime = 2 * time.Second
	// maxAdvertisedPrefixes limits the prefixes that a node advertises at once, and
	// maxPeerPrefixes is the number of advertised prefixes of one endpoint from which older
	// ones are evicted.
	maxAdvertisedPrefixes = 64
	maxPeerPrefixes       = 2048
)

// cacheHit is an endpoint that likely has leading tokens of a prompt in its KV cache.
type cacheHit struct {
	*member
	tokens int
}

// PrefixLocation states that an endpoint, identified by a hash of its ID, likely caches a
// prefix, because a node has sent a request with it there.
type PrefixLocation struct {
	Prefix   uint64
	Endpoint uint32
}

// sentPrefix is the location of a prefix that this node has sent.
type sentPrefix struct {
	PrefixLocation
	at time.Time
}

// recordSentPrefix records that a prompt's shared prefix was sent to an endpoint.
func (t *Table) recordSentPrefix(now time.Time, m *member, p Prompt) {
	if m.engine == nil || m.engine.LinkBytes <= 0 || p.sharedTokens() < minPrefixTokens {
		return
	}
	t.sentPrefixes = append(t.sentPrefixes, sentPrefix{PrefixLocation{p.prefixID(), uint32(m.hash)}, now})
}

// RecentPrefixes returns where this node has sent prefixes within advertiseTime, to be
// advertised to the other nodes.
func (t *Table) RecentPrefixes(now time.Time) []PrefixLocation {
	t.sentPrefixes = slices.DeleteFunc(t.sentPrefixes, func(s sentPrefix) bool { return now.Sub(s.at) > advertiseTime })
	if n := len(t.sentPrefixes); n > maxAdvertisedPrefixes {
		t.sentPrefixes = slices.Delete(t.sentPrefixes, 0, n-maxAdvertisedPrefixes)
	}
	out := make([]PrefixLocation, 0, len(t.sentPrefixes))
	for _, s := range t.sentPrefixes {
		out = append(out, s.PrefixLocation)
	}
	return out
}

// AddPeerPrefixes records the prefix locations that another node advertises.
func (t *Table) AddPeerPrefixes(now time.Time, locations []PrefixLocation) {
	for _, l := range locations {
		m := t.byHash[l.Endpoint]
		if m == nil {
			continue // terminated, or not listed here yet
		}
		if len(m.peerPrefixes) >= maxPeerPrefixes {
			maps.DeleteFunc(m.peerPrefixes, func(_ uint64, at time.Time) bool { return now.Sub(at) > t.opts.CacheRetention/2 })
		}
		m.peerPrefixes[l.Prefix] = now
	}
}

// cachedTokens returns how many leading tokens of a prompt an endpoint likely caches.
func (t *Table) cachedTokens(now time.Time, m *member, p Prompt) int {
	own := m.cache.prefixTokens(now, p.Segments, t.opts.CacheRetention)
	shared := p.sharedTokens()
	if own >= shared || shared == 0 {
		return own
	}
	if at, ok := m.peerPrefixes[p.prefixID()]; ok && now.Sub(at) <= t.opts.CacheRetention {
		return shared
	}
	return own
}

// cacheHits returns the endpoints that likely cache a prompt's shared prefix, or the start
// of it, those with the most tokens first. Missing and ejected endpoints are left out, as
// nothing can be fetched from them; leaving ones are included.
func (t *Table) cacheHits(now time.Time, s *service, r Request) []cacheHit {
	shared := r.Prompt.sharedTokens()
	if r.Imported || shared < minPrefixTokens || len(s.members) == 0 || s.members[0].engine == nil || s.members[0].engine.LinkBytes <= 0 {
		return nil
	}
	var out []cacheHit
	for _, m := range s.members {
		if !m.missingSince.IsZero() || m.health.ejected(now) || m.health.backingOff(now) {
			continue
		}
		if t.evacuated[m.DataCentre] || !t.opts.Regions.Allow(r.Homes, m.DataCentre) {
			continue
		}
		if n := min(t.cachedTokens(now, m, r.Prompt), shared); n >= minFetchTokens {
			out = append(out, cacheHit{m, n})
		}
	}
	slices.SortStableFunc(out, func(a, b cacheHit) int { return b.tokens - a.tokens })
	return out
}

// fetchSource returns the endpoint from which m should fetch KV cache, and how many tokens
// more than the cached ones it has: the one with the most tokens, and of several such one in the
// same data centre. It returns nil where a fetch is not worthwhile.
func (m *member) fetchSource(hits []cacheHit, cached int) (*member, int) {
	var best cacheHit
	for _, h := range hits {
		if h.member == m || h.tokens-cached < minFetchTokens || h.tokens < best.tokens {
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

// fetchTime returns the time to fetch tokens from another engine.
func (m *member) fetchTime(from *member, tokens int) time.Duration {
	transfer := float64(tokens) * m.engine.TokenBytes / m.engine.LinkBytes
	if m.DataCentre != from.DataCentre {
		transfer *= remoteFetchFactor
	}
	return fetchSetupTime + seconds(transfer)
}
