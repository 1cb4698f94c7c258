package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Share is the weight of a class in the mix.
type Share struct {
	Class  ident.Class
	Weight float64
}

// DefaultMix is mostly quick chats, with some lookups, orders and long drafts.
var DefaultMix = []Share{
	{ident.ClassQuick, 0.55}, {ident.ClassLookup, 0.25}, {ident.ClassOrder, 0.10}, {ident.ClassLong, 0.10},
}

// Sizes of the generated requests.
const (
	guideBytes     = 3072 // style guide of a workspace, which its chats share as a prefix
	questionBytes  = 160
	letterBytes    = 8192
	quickTokens    = 32 // mean length of an answer
	longTokens     = 256
	catalogueItems = 500
	largeShare     = 0.5 // of the requests come from the first workspace, half of the rest from the next, …
)

// guideStream is the first random stream of the guides; arrivals use those below.
const guideStream = 1 << 32

// arrival is one request of the plan. It is a pure function of seed and number.
type arrival struct {
	number int
	at     time.Duration // since the start of the run
	class  ident.Class
	key    string                // API key of the workspace
	chat   *endpoint.ChatRequest // quick and long
	item   string                // lookup: ID in the catalogue
	order  string                // order: body
	idem   string                // order: Idempotency-Key
}

// planner draws the arrivals of an open-loop load: gaps are exponential, whatever
// became of the requests before.
type planner struct {
	opts   Options
	rng    *rand.Rand
	guides []string // by workspace
	next   int
	at     time.Duration
}

func newPlanner(opts Options) *planner {
	p := &planner{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0))}
	for i := range opts.Keys {
		p.guides = append(p.guides, words(rand.New(rand.NewPCG(opts.Seed, guideStream+uint64(i))), guideBytes))
	}
	return p
}

// draw returns the next arrival, and false where the run is over.
func (p *planner) draw() (arrival, bool) {
	p.at += time.Duration(p.rng.ExpFloat64() / p.opts.Rate * float64(time.Second))
	if p.at >= p.opts.Duration {
		return arrival{}, false
	}
	p.next++
	rng := rand.New(rand.NewPCG(p.opts.Seed, uint64(p.next)))
	workspace := p.workspace(rng)
	a := arrival{number: p.next, at: p.at, class: p.class(rng), key: p.opts.Keys[workspace]}
	switch a.class {
	case ident.ClassOrder:
		a.idem = fmt.Sprintf("load-%d-%d", p.opts.Seed, a.number)
		a.order = `{"text":"` + words(rng, questionBytes) + `"}`
	case ident.ClassLookup:
		a.item = fmt.Sprintf("item-%d", rng.IntN(catalogueItems))
	case ident.ClassLong:
		a.chat = p.chat(rng, workspace, letterBytes, longTokens)
	default:
		a.chat = p.chat(rng, workspace, questionBytes, quickTokens)
	}
	return a, true
}

// workspace draws a workspace; the first ones are large.
func (p *planner) workspace(rng *rand.Rand) int {
	for i := range len(p.opts.Keys) - 1 {
		if rng.Float64() < largeShare {
			return i
		}
	}
	return len(p.opts.Keys) - 1
}

func (p *planner) class(rng *rand.Rand) ident.Class {
	total := 0.0
	for _, s := range p.opts.Mix {
		total += s.Weight
	}
	x := rng.Float64() * total
	for _, s := range p.opts.Mix {
		if x -= s.Weight; x < 0 {
			return s.Class
		}
	}
	return p.opts.Mix[len(p.opts.Mix)-1].Class
}

func (p *planner) chat(rng *rand.Rand, workspace, bytes, tokens int) *endpoint.ChatRequest {
	return &endpoint.ChatRequest{
		Model: p.opts.Model,
		Messages: []endpoint.Message{
			{Role: "system", Content: p.guides[workspace]},
			{Role: "user", Content: words(rng, bytes/2+rng.IntN(bytes))},
		},
		MaxTokens: tokens/2 + rng.IntN(tokens),
		Stream:    true,
		Seed:      rng.Uint64() >> 12, // JSON numbers hold 52 bits safely
	}
}

// words returns about n bytes of text.
func words(rng *rand.Rand, n int) string {
	var b strings.Builder
	for b.Len() < n {
		for range 2 + rng.IntN(8) {
			b.WriteByte('a' + byte(rng.IntN(26)))
		}
		b.WriteByte(' ')
	}
	return b.String()
}
