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

// A small model of engines in virtual time: an engine makes one token of every
// running stream a step, and reads a chunk of the first waiting prompt in each step.
// It knows nothing of caches, reports and preemption.
const (
	simStep      = 5 * time.Millisecond
	simChunk     = 4096
	simPrefill   = 64.0 // tokens a millisecond
	simPairs     = 0.65 // milliseconds for a million pairs of tokens
	simEvent     = 5    // tokens of an event
	simGap       = 500 * time.Millisecond
	simEngines   = 12
	simDuration  = 40 * time.Second
	simChats     = 30.0 // a second
	simLongs     = 10.0
	simChatInput = 800
)

type simStream struct {
	id      ident.AttemptID
	left    int // tokens
	unread  int // of the prompt
	read    int
	long    bool
	event   int
	since   time.Time // of the last event
	started bool
	late    bool
}

type simEngine struct {
	now     time.Time
	streams []*simStream
}

// step lets the engine go on by one step.
func (e *simEngine) step(table *Table, done func(*simStream)) {
	took := simStep
	for _, s := range e.streams {
		if s.unread > 0 {
			n := min(s.unread, simChunk)
			pairs := float64(n) * (float64(s.read) + float64(n)/2) / 1e6
			s.unread, s.read = s.unread-n, s.read+n
			took += time.Duration((float64(n)/simPrefill + pairs*simPairs) * float64(time.Millisecond))
			break
		}
	}
	e.now = e.now.Add(took)
	kept := e.streams[:0]
	for _, s := range e.streams {
		if s.unread == 0 {
			e.token(table, s)
		}
		if s.left > 0 {
			kept = append(kept, s)
			continue
		}
		table.Finished(e.now, s.id, Success)
		done(s)
	}
	e.streams = kept
}

func (e *simEngine) token(table *Table, s *simStream) {
	s.left--
	if s.event++; s.event < simEvent && s.left > 0 {
		return
	}
	s.event = 0
	if !s.started {
		s.started = true
		table.FirstEvent(e.now, s.id)
	} else if e.now.Sub(s.since) > simGap {
		s.late = true
	}
	s.since = e.now
}

// simulate returns the parts of chats and of long requests that a pause made late.
func simulate(seed uint64, pick func(*Table, time.Time, *rand.Rand, Request) Choice) (chats, longs float64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(1000, 0)
	table := New(Options{DataCentre: "a", PrefillPerSecond: simPrefill * 1000})
	var list []site.Endpoint
	engines := make(map[ident.EndpointID]*simEngine)
	for i := range simEngines {
		e := llm(fmt.Sprint("e", i))
		list = append(list, e)
		engines[e.ID] = &simEngine{now: start}
	}
	table.SetEndpoints(start, list, nil, services)
	var late, all [2]float64
	n := 0
	for now := start; now.Before(start.Add(simDuration)); {
		now = now.Add(time.Duration(rng.ExpFloat64() / (simChats + simLongs) * float64(time.Second)))
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
		long := rng.Float64() < simLongs/(simChats+simLongs)
		p := Prompt{Input: simChatInput, Output: 250, Segments: []PromptSegment{{uint64(n), simChatInput}}}
		if long {
			p.Input = min(int(6000*math.Exp(rng.NormFloat64())), 54000)
			p.Segments[0].Tokens = p.Input
		}
		c := pick(table, now, rng, Request{Service: "llm", Prompt: p, MaxGap: simGap})
		id := ident.AttemptID(fmt.Sprint(n))
		table.Dispatched(now, id, c, p)
		e := engines[c.Endpoint.ID]
		e.streams = append(e.streams, &simStream{id: id, left: p.Output, unread: c.UncachedTokens, long: long, since: now})
	}
	return late[0] / all[0], late[1] / all[1]
}

// TestLongPromptsAmongChats answers the pattern of long prompts that are read beside
// quick chats. The naive version sends each request where the fewest run.
func TestLongPromptsAmongChats(t *testing.T) {
	ours := func(table *Table, now time.Time, rng *rand.Rand, r Request) Choice {
		c, err := table.Pick(now, rng, r)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	naive := func(table *Table, now time.Time, _ *rand.Rand, r Request) Choice {
		var best *member
		for _, m := range table.service("llm").members {
			if best == nil || m.running(now) < best.running(now) {
				best = m
			}
		}
		return Choice{Endpoint: best.Endpoint, UncachedTokens: r.Prompt.Input}
	}
	var sum, base [2]float64
	for seed := range uint64(6) {
		chats, longs := simulate(seed, ours)
		naiveChats, naiveLongs := simulate(seed, naive)
		sum[0], sum[1] = sum[0]+chats/6, sum[1]+longs/6
		base[0], base[1] = base[0]+naiveChats/6, base[1]+naiveLongs/6
	}
	t.Logf("late by a pause: chats %.3f, naive %.3f; long prompts %.3f, naive %.3f", sum[0], base[0], sum[1], base[1])
	if base[0] < 0.01 {
		t.Fatal("the pattern makes no chat late by the naive choice")
	}
	if sum[0] > 0.8*base[0] {
		t.Errorf("%.3f of the chats are late, %.3f by the naive choice", sum[0], base[0])
	}
	if sum[1] > base[1] {
		t.Errorf("%.3f of the long prompts are late, %.3f by the naive choice", sum[1], base[1])
	}
}

// TestManyNodesDoNotHerd answers the pattern of many nodes that choose by the same
// stale loads: where each compares its part of the endpoints only, the ones that look
// best get less than half of what they get otherwise.
func TestManyNodesDoNotHerd(t *testing.T) {
	const nodes, endpoints, requests = 60, 90, 60
	worst := func(told int) int {
		at := make(map[ident.EndpointID]int)
		list := some(endpoints, llm)
		loads := make(map[ident.EndpointID]Load)
		for i, e := range list {
			loads[e.ID] = Load{Running: i % 30} // the same stale view at all nodes
		}
		for n := range nodes {
			b := newBench(t, list...)
			b.rng = rand.New(rand.NewPCG(uint64(n), 9))
			b.table.SetPeers(loads)
			b.table.SetNodes(told)
			for i := range requests / nodes {
				_, c := b.send(Request{Service: "llm", Prompt: Prompt{Input: 800, Output: 100, Segments: []PromptSegment{{uint64(n*1000 + i), 800}}}})
				at[c.Endpoint.ID]++
			}
		}
		most := 0
		for _, n := range at {
			most = max(most, n)
		}
		return most
	}
	alone, many := worst(1), worst(nodes)
	if 2*many > alone {
		t.Errorf("the busiest endpoint got %d of %d; %d where each node compares all", many, requests, alone)
	}
}

// TestReadingWork: the work of a long prompt grows as that of the model engine does,
// which reads it in chunks.
func TestReadingWork(t *testing.T) {
	for _, n := range []int{500, 5000, 20_000, 50_000} {
		for _, cached := range []int{0, 5000} {
			want := 0.0 // milliseconds
			for read := 0; read < n; read += simChunk {
				c := float64(min(simChunk, n-read))
				want += c/simPrefill + c*(float64(cached+read)+c/2)/1e6*simPairs
			}
			got := float64(readingWork(cached, n)) / simPrefill
			if math.Abs(got-want) > 0.05*want {
				t.Errorf("%d tokens behind %d take %.0f ms, the engine takes %.0f", n, cached, got, want)
			}
		}
	}
}
