package placement

import (
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
	// minFetch is the least number of tokens worth a fetch: below it, its set-up takes
	// as long as the reading.
	minFetch = 400
	// fetchCandidates is the number of endpoints by rendezvous that may hold a shared
	// prefix: its home, and the one that was its home before that one came.
	fetchCandidates = 2
)

// holder is an endpoint that likely has leading tokens of a prompt in its cache.
type holder struct {
	*member
	tokens int
}

// holders returns the endpoints that likely have a prompt's shared prefix, the
// likeliest first: those that this node sent it to, and its homes. Endpoints that
// fail hold nothing that can be had; leaving ones still do.
func (t *Table) holders(now time.Time, s *service, r Request, ranked []*member) []holder {
	shared := r.Prompt.sharedTokens()
	if r.Imported || shared < homeTokens || len(s.members) == 0 || s.members[0].engine == nil || s.members[0].engine.LinkBytes <= 0 {
		return nil
	}
	var out []holder
	for _, m := range s.members {
		if !m.missing.IsZero() || m.health.out(now) {
			continue
		}
		if n := min(m.cache.prefix(now, r.Prompt.Parts, t.opts.CacheMemory), shared); n >= minFetch {
			out = append(out, holder{m, n})
		}
	}
	slices.SortStableFunc(out, func(a, b holder) int { return b.tokens - a.tokens })
	for _, m := range ranked {
		out = append(out, holder{m, int(homeShare * float64(shared))})
	}
	return out
}

// fetch returns the endpoint that m should have cache from, and how many tokens more
// than the cached ones come from there.
func (m *member) fetch(holders []holder, cached int) (*member, int) {
	for _, h := range holders {
		if h.member != m && h.tokens-cached >= minFetch {
			return h.member, h.tokens - cached
		}
	}
	return nil, 0
}

// fetchTime returns the time that a transfer takes.
func (m *member) fetchTime(from *member, tokens int) time.Duration {
	took := float64(tokens) * m.engine.TokenBytes / m.engine.LinkBytes
	if m.DataCentre != from.DataCentre {
		took *= remoteFetch
	}
	return fetchSetup + seconds(took)
}
