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

// Sizes of the generated requests. Sizes in bytes are approximate; those of user
// messages and the token numbers are means.
const (
	systemPromptBytes = 3072 // system prompt of a workspace, a prefix shared by all its chats
	shortTextBytes    = 160
	longPromptBytes   = 8192
	meanQuickTokens   = 32 // requested response length
	meanLongTokens    = 256
	catalogueItems    = 500
	workspaceShare    = 0.5 // share of the first workspace; the next one has this share of the rest, and so on
)

// systemPromptStream is the number of the first random stream for system prompts.
// Arrivals use the streams below it.
const systemPromptStream = 1 << 32

// arrival is one planned request. Its contents are a pure function of seed and number.
type arrival struct {
	number         int
	at             time.Duration // from the start of the run
	class          ident.Class
	key            string                // API key of the workspace
	chat           *endpoint.ChatRequest // quick and long
	itemID         string                // lookup: ID in the catalogue
	orderBody      string                // order: body
	idempotencyKey string                // order: Idempotency-Key
}

// planner generates the arrivals of an open-loop load: exponential inter-arrival
// times, regardless of the progress of earlier requests.
type planner struct {
	opts          Options
	rng           *rand.Rand
	systemPrompts []string // by workspace
	next          int
	at            time.Duration
}

func newPlanner(opts Options) *planner {
	p := &planner{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0))}
	for i := range opts.Keys {
		p.systemPrompts = append(p.systemPrompts, words(rand.New(rand.NewPCG(opts.Seed, systemPromptStream+uint64(i))), systemPromptBytes))
	}
	return p
}

// draw returns the next arrival, or false if it is after the end of the run.
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
		a.idempotencyKey = fmt.Sprintf("load-%d-%d", p.opts.Seed, a.number)
		a.orderBody = `{"text":"` + words(rng, shortTextBytes) + `"}`
	case ident.ClassLookup:
		a.itemID = fmt.Sprintf("item-%d", rng.IntN(catalogueItems))
	case ident.ClassLong:
		a.chat = p.chat(rng, workspace, longPromptBytes, meanLongTokens)
	default:
		a.chat = p.chat(rng, workspace, shortTextBytes, meanQuickTokens)
	}
	return a, true
}

// workspace draws the index of a workspace; workspaceShare sets the distribution.
func (p *planner) workspace(rng *rand.Rand) int {
	for i := range len(p.opts.Keys) - 1 {
		if rng.Float64() < workspaceShare {
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
			{Role: "system", Content: p.systemPrompts[workspace]},
			{Role: "user", Content: words(rng, bytes/2+rng.IntN(bytes))},
		},
		MaxTokens: tokens/2 + rng.IntN(tokens),
		Stream:    true,
		Seed:      rng.Uint64() >> 12, // 52 bits, which a JSON number represents exactly
	}
}

// words returns random words of at least n bytes in total.
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
