package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// highSpeed makes the simulated engine's times negligible.
const highSpeed = 1e6

// testEngine is an engine with an HTTP server in front of it.
type testEngine struct {
	*Engine
	t   *testing.T
	url string
}

func startEngine(t *testing.T, opts Options) testEngine {
	t.Helper()
	if opts.Speed == 0 {
		opts.Speed = highSpeed
	}
	e := New(opts)
	srv := httptest.NewServer(e.Handler())
	t.Cleanup(srv.Close)
	return testEngine{e, t, srv.URL}
}

func (e testEngine) post(path, id, class string, body any) *http.Response {
	e.t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		e.t.Fatal(err)
	}
	req, _ := http.NewRequest(http.MethodPost, e.url+path, bytes.NewReader(b))
	req.Header.Set(endpoint.HeaderRequestID, id)
	req.Header.Set(endpoint.HeaderAttemptID, "a-"+id)
	req.Header.Set(endpoint.HeaderPriority, class)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func (e testEngine) json(path string, body, out any) int {
	e.t.Helper()
	resp := e.post(path, "", "", body)
	_ = json.NewDecoder(resp.Body).Decode(out)
	return resp.StatusCode
}

// answer is the content of a response stream.
type answer struct {
	offsets  []int
	text     string
	foreign  int // chunks of other requests
	complete bool
	usage    endpoint.Usage
}

func readAnswer(t *testing.T, resp *http.Response, id string) (a answer) {
	t.Helper()
	for s := bufio.NewScanner(resp.Body); s.Scan(); {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		var c endpoint.ChatChunk
		if data == "[DONE]" || json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
			continue
		}
		switch {
		case c.ID != id || c.Attempt != ident.AttemptID("a-"+id):
			a.foreign++
		case c.Choices[0].FinishReason != "":
			a.complete, a.usage = true, *c.Usage
		default:
			a.offsets = append(a.offsets, c.Offset)
			a.text += c.Choices[0].Delta.Content
		}
	}
	return a
}

func chat(prompt string, tokens int) endpoint.ChatRequest {
	return endpoint.ChatRequest{Messages: []endpoint.Message{{Role: "user", Content: prompt}}, MaxTokens: tokens, Stream: true, Seed: 7}
}

func wantText(req endpoint.ChatRequest) string {
	return NewTokens(endpoint.PromptText(req.Messages), req.Seed).Text(req.MaxTokens)
}

func TestResumeContinuesExactly(t *testing.T) {
	prompt := strings.Repeat("a long family letter ", 50)
	first, second := startEngine(t, Options{}), startEngine(t, Options{})
	req := chat(prompt, 40)
	first.SetFaults(Faults{TruncateAt: 25})
	beginning := readAnswer(t, first.post(endpoint.PathChat, "r1", "long", req), "r1")
	if beginning.complete || len(beginning.offsets) != 25 {
		t.Fatalf("truncated response = %+v", beginning)
	}
	resumed := req
	resumed.ResumeOffset, resumed.PrefixText = 25, beginning.text
	rest := readAnswer(t, second.post(endpoint.PathChat, "r1", "long", resumed), "r1")
	if beginning.text+rest.text != wantText(req) || !rest.complete {
		t.Errorf("response %q + %q, want %q", beginning.text, rest.text, wantText(req))
	}
	total := endpoint.PromptTokens(endpoint.PromptText(req.Messages) + beginning.text)
	if got := second.Status().Counts.RecomputedTokens; got != total {
		t.Errorf("recomputed %d tokens, want %d", got, total)
	}

	// With the KV cache imported, only the tokens after the last full block are computed.
	third := startEngine(t, Options{})
	var blob endpoint.KVBlob
	first.json(endpoint.PathKVExport, endpoint.KVExportRequest{Attempt: "a-r1"}, &blob)
	third.json(endpoint.PathKVImport, blob, nil)
	readAnswer(t, third.post(endpoint.PathChat, "r1", "long", resumed), "r1")
	if got, block := third.Status().Counts.RecomputedTokens, endpoint.BlockBytes/endpoint.BytesPerToken; got > block {
		t.Errorf("recomputed %d tokens after the import, want at most %d", got, block)
	}
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults Faults
		status int
		check  func(a answer, full string) bool
	}{
		{"none", Faults{}, 200, func(a answer, full string) bool { return a.complete && a.text == full }},
		{"fail", Faults{FailRate: 1}, 500, nil},
		{"refuse", Faults{Refuse: true}, 503, nil},
		{"hidden", Faults{HiddenErrorRate: 1}, 200, func(a answer, _ string) bool { return !a.complete && a.text == "" }},
		{"cut", Faults{CutAt: 5}, 200, func(a answer, _ string) bool { return !a.complete && len(a.offsets) == 5 }},
		{"duplicate", Faults{DuplicateRate: 1}, 200, func(a answer, _ string) bool { return len(a.offsets) == 40 }},
		{"reorder", Faults{ReorderRate: 1}, 200, func(a answer, _ string) bool {
			return len(a.offsets) == 20 && !slices.IsSorted(a.offsets)
		}},
		{"cross", Faults{CrossRate: 1}, 200, func(a answer, full string) bool { return a.foreign == 20 && a.text == full }},
		{"other class", Faults{FailRate: 1, Scope: Scope{Class: "long"}}, 200, func(a answer, _ string) bool { return a.complete }},
		{"below load", Faults{FailRate: 1, Scope: Scope{AboveRunning: 1}}, 200, func(a answer, _ string) bool { return a.complete }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := startEngine(t, Options{Faults: tt.faults})
			req := chat("hello", 20)
			resp := r.post(endpoint.PathChat, "r", "quick", req)
			if resp.StatusCode != tt.status || resp.Header.Get(endpoint.HeaderAttemptID) != "a-r" {
				t.Fatalf("response %s, header %v", resp.Status, resp.Header)
			}
			if notRun := resp.Header.Get(verdict.Header) == verdict.NotRun.String(); notRun != tt.faults.Refuse {
				t.Errorf("verdict = %q", resp.Header.Get(verdict.Header))
			}
			if a := readAnswer(t, resp, "r"); tt.check != nil && !tt.check(a, wantText(req)) {
				t.Errorf("response = %+v", a)
			}
		})
	}
}

// TestFreezeAndPriority occupies the only slot with a frozen stream, queues a long
// and then a quick request, and checks that the quick one runs first.
func TestFreezeAndPriority(t *testing.T) {
	r := startEngine(t, Options{MaxRunning: 1})
	done := make(chan string, 3)
	wait := func(what string, cond func(Status) bool) {
		for range 5000 {
			if cond(r.Status()) {
				return
			}
			time.Sleep(time.Millisecond)
		}
		t.Fatalf("engine is not %s after 5 s", what)
	}
	go func() {
		if a := readAnswer(t, r.post(endpoint.PathChat, "first", "long", chat("x", 100000)), "first"); a.complete {
			t.Error("a cancelled response is complete")
		}
		done <- "first"
	}()
	wait("running", func(s Status) bool { return s.Counts.GeneratedTokens > 0 })
	r.SetFaults(Faults{Freeze: true})
	// HTTP requests are blocked while the engine is frozen; enqueue adds these to the queue in order.
	for i, class := range []string{"long", "quick"} {
		req := httptest.NewRequest(http.MethodPost, "/", nil)
		req.Header.Set(endpoint.HeaderPriority, class)
		queued := newAttempt(req, chat(class, 1))
		if !r.enqueue(queued) {
			t.Fatal("attempt refused")
		}
		go func() {
			<-queued.granted
			done <- class
			r.finish(queued)
		}()
		wait("queued", func(s Status) bool { return s.Queued == i+1 })
	}
	var state endpoint.EngineState
	r.SetFaults(Faults{})
	r.json(endpoint.PathCancel, endpoint.CancelRequest{Attempt: "a-first"}, &state)
	order := []string{<-done, <-done, <-done}
	order = slices.DeleteFunc(order, func(s string) bool { return s == "first" })
	if !slices.Equal(order, []string{"quick", "long"}) {
		t.Errorf("order = %v", order)
	}
}

func TestCacheEventsAndLimit(t *testing.T) {
	c := newPrefixCache(4, time.Second)
	now := time.Unix(0, 0)
	keep, drop := func() bool { return false }, func() bool { return true }
	c.add(now, []uint64{1, 2, 3, 4}, keep)
	c.add(now, []uint64{5}, drop) // evicts 1; both events are dropped
	c.add(now, []uint64{2}, keep) // most recently used
	c.add(now, []uint64{6}, keep) // evicts 3
	if n := c.match([]uint64{2, 4, 3}); n != 2 {
		t.Errorf("match = %d, want 2", n)
	}
	if got := c.eventsAfter(now, 0); len(got.Events) != 0 {
		t.Errorf("events are visible before the delay: %+v", got)
	}
	got := c.eventsAfter(now.Add(time.Second), 2)
	if !got.Gap || len(got.Events) != 4 || got.Events[3] != (endpoint.CacheEvent{Seq: 8, Block: 3}) {
		t.Errorf("events = %+v", got)
	}
	if got = c.eventsAfter(now.Add(time.Second), 6); got.Gap {
		t.Errorf("gap reported after the dropped events: %+v", got)
	}
}

func TestOrdersAndFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		r := startEngine(t, Options{Version: "6", ChecksFence: checks, Speed: 1, LoadTime: time.Hour})
		var s endpoint.EngineState
		r.json(endpoint.PathEngineOrder, endpoint.EngineOrder{Fence: 3, Version: "7"}, &s)
		if s.Version != "7" || s.Ready {
			t.Errorf("state = %+v", s)
		}
		if resp := r.post(endpoint.PathChat, "r", "quick", chat("x", 1)); resp.Header.Get(verdict.Header) != "not-run" {
			t.Error("a request was accepted while the version was loading")
		}
		status := r.json(endpoint.PathEngineOrder, endpoint.EngineOrder{Fence: 2, Version: "6"}, &s)
		stale := r.Status().Counts.StaleOrders
		if refused := status == http.StatusConflict; refused != checks || (s.Version == "7") != checks || (stale == 0) != checks {
			t.Errorf("checks %v: status %d, state %+v, %d stale orders", checks, status, s, stale)
		}
	}
}
