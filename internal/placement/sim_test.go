package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// A simple simulation of engines in virtual time: in each step an engine generates one
// token of every running stream and computes one chunk of the first prompt with outstanding
// prefill. It does not model caches, load reports and preemption.
const (
	simStep        = 5 * time.Millisecond
	simChunk       = 4096
	simPrefill     = 64.0 // tokens per millisecond
	simAttention   = 0.65 // milliseconds per million pairs of tokens
	simEventTokens = 5    // tokens per event
	simMaxGap      = 500 * time.Millisecond
	simEngines     = 12
	simDuration    = 40 * time.Second
	simChatRate    = 30.0 // per second
	simLongRate    = 10.0
	simChatInput   = 800
)

type simStream struct {
	id                 ident.AttemptID
	remainingTokens    int // to be generated
	outstandingPrefill int // tokens
	completedPrefill   int
	long               bool
	tokensSinceEvent   int
	lastEvent          time.Time
	started            bool
	late               bool
}

type simEngine struct {
	now     time.Time
	streams []*simStream
}

// step simulates one step of the engine.
func (e *simEngine) step(table *Table, finished func(*simStream)) {
	elapsed := simStep
	for _, s := range e.streams {
		if s.outstandingPrefill > 0 {
			n := min(s.outstandingPrefill, simChunk)
			pairs := float64(n) * (float64(s.completedPrefill) + float64(n)/2) / 1e6
			s.outstandingPrefill, s.completedPrefill = s.outstandingPrefill-n, s.completedPrefill+n
			elapsed += time.Duration((float64(n)/simPrefill + pairs*simAttention) * float64(time.Millisecond))
			break
		}
	}
	e.now = e.now.Add(elapsed)
	running := e.streams[:0]
	for _, s := range e.streams {
		if s.outstandingPrefill == 0 {
			e.token(table, s)
		}
		if s.remainingTokens > 0 {
			running = append(running, s)
			continue
		}
		table.Finished(e.now, s.id, OutcomeSuccess)
		finished(s)
	}
	e.streams = running
}

func (e *simEngine) token(table *Table, s *simStream) {
	s.remainingTokens--
	if s.tokensSinceEvent++; s.tokensSinceEvent < simEventTokens && s.remainingTokens > 0 {
		return
	}
	s.tokensSinceEvent = 0
	if !s.started {
		s.started = true
		table.FirstEvent(e.now, s.id)
	} else if e.now.Sub(s.lastEvent) > simMaxGap {
		s.late = true
	}
	s.lastEvent = e.now
}

// simulate returns the fractions of the chats and of the long requests that had an
// inter-event gap of more than simMaxGap.
func simulate(seed uint64, pick func(*Table, time.Time, *rand.Rand, Request) Choice) (chats, longs float64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(1000, 0)
	table := New(Options{DataCentre: "a", PrefillPerSec: simPrefill * 1000})
	var list []site.Endpoint
	engines := make(map[ident.EndpointID]*simEngine)
	for i := range simEngines {
		e := llmEndpoint(fmt.Sprint("e", i))
		list = append(list, e)
		engines[e.ID] = &simEngine{now: start}
	}
	table.SetEndpoints(start, list, nil, services)
	var late, all [2]float64
	n := 0
	for now := start; now.Before(start.Add(simDuration)); {
		now = now.Add(time.Duration(rng.ExpFloat64() / (simChatRate + simLongRate) * float64(time.Second)))
		for _, e := range engines {
			for len(e.streams) > 0 && e.now.Before(now) {
				e.step(table, func(s *simStream) {
					kind := 0
					if s.long {
						kind = 1
					}
					all[kind]++
					if s.late {
						late[kind]++
					}
				})
			}
			if len(e.streams) == 0 && e.now.Before(now) {
				e.now = now
			}
		}
		n++
		long := rng.Float64() < simLongRate/(simChatRate+simLongRate)
		p := Prompt{Input: simChatInput, Output: 250, Segments: []PromptSegment{{uint64(n), simChatInput}}}
		if long {
			p.Input = min(int(6000*math.Exp(rng.NormFloat64())), 54000)
			p.Segments[0].Tokens = p.Input
		}
		c := pick(table, now, rng, Request{Service: "llm", Prompt: p, MaxGap: simMaxGap})
		id := ident.AttemptID(fmt.Sprint(n))
		table.Dispatched(now, id, c, p)
		e := engines[c.Endpoint.ID]
		e.streams = append(e.streams, &simStream{id: id, remainingTokens: p.Output, outstandingPrefill: c.UncachedTokens, long: long, lastEvent: now})
	}
	return late[0] / all[0], late[1] / all[1]
}

// The prefill of long prompts must not delay the streams of chats at the same engine. The
// baseline sends each request to the engine with the fewest running requests.
func TestLongPromptsAmongChats(t *testing.T) {
	placed := func(table *Table, now time.Time, rng *rand.Rand, r Request) Choice {
		c, err := table.Pick(now, rng, r)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	leastRunning := func(table *Table, now time.Time, _ *rand.Rand, r Request) Choice {
		var best *member
		for _, m := range table.service("llm").members {
			if best == nil || m.running(now) < best.running(now) {
				best = m
			}
		}
		return Choice{Endpoint: best.Endpoint, UncachedTokens: r.Prompt.Input}
	}
	var late, baseline [2]float64
	for seed := range uint64(6) {
		chats, longs := simulate(seed, placed)
		baselineChats, baselineLongs := simulate(seed, leastRunning)
		late[0], late[1] = late[0]+chats/6, late[1]+longs/6
		baseline[0], baseline[1] = baseline[0]+baselineChats/6, baseline[1]+baselineLongs/6
	}
	t.Logf("late: chats %.3f, baseline %.3f; long prompts %.3f, baseline %.3f", late[0], baseline[0], late[1], baseline[1])
	if baseline[0] < 0.01 {
		t.Fatal("no chats are late with the baseline")
	}
	if late[0] > 0.8*baseline[0] {
		t.Errorf("%.3f of the chats are late, baseline %.3f", late[0], baseline[0])
	}
	if late[1] > baseline[1] {
		t.Errorf("%.3f of the long prompts are late, baseline %.3f", late[1], baseline[1])
	}
}

// Many nodes that choose by the same stale loads overload the endpoints with the lowest
// load. Where each node compares a sample of the endpoints only, the busiest endpoint gets
// at most half as many requests.
func TestManyNodesDoNotOverloadBestEndpoint(t *testing.T) {
	const nodes, endpoints, requests = 60, 90, 60
	busiest := func(nodeCount int) int {
		perEndpoint := make(map[ident.EndpointID]int)
		list := makeEndpoints(endpoints, llmEndpoint)
		loads := make(map[ident.EndpointID]Load)
		for i, e := range list {
			loads[e.ID] = Load{Running: i % 30} // the same stale loads at all nodes
		}
		for n := range nodes {
			f := newFixture(t, list...)
			f.rng = rand.New(rand.NewPCG(uint64(n), 9))
			f.table.SetPeers(loads)
			f.table.SetNodes(nodeCount)
			for i := range requests / nodes {
				_, c := f.send(Request{Service: "llm", Prompt: Prompt{Input: 800, Output: 100, Segments: []PromptSegment{{uint64(n*1000 + i), 800}}}})
				perEndpoint[c.Endpoint.ID]++
			}
		}
		highest := 0
		for _, n := range perEndpoint {
			highest = max(highest, n)
		}
		return highest
	}
	comparingAll, sampling := busiest(1), busiest(nodes)
	if 2*sampling > comparingAll {
		t.Errorf("the busiest endpoint got %d of %d requests; %d where each node compares all endpoints", sampling, requests, comparingAll)
	}
}

// The prefill work of a long prompt grows as in the simulated engine, which computes it in
// chunks.
func TestPrefillWork(t *testing.T) {
	for _, n := range []int{500, 5000, 20_000, 50_000} {
		for _, cached := range []int{0, 5000} {
			want := 0.0 // milliseconds
			for done := 0; done < n; done += simChunk {
				c := float64(min(simChunk, n-done))
				want += c/simPrefill + c*(float64(cached+done)+c/2)/1e6*simAttention
			}
			got := float64(prefillWork(cached, n)) / simPrefill
			if math.Abs(got-want) > 0.05*want {
				t.Errorf("%d tokens after %d cached ones take %.0f ms, want %.0f ms", n, cached, got, want)
			}
		}
	}
}
