package route

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/rendezvous"
)

// script runs the commands of testdata/scripts against a Table in dc0.
type script struct {
	t        *Table
	now      time.Time
	rng      *rand.Rand
	attempts int // started so far
}

func TestScripts(t *testing.T) {
	invariant.SetFatal(true)
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{t: New(Options{Node: "n0", DataCentre: "dc0"}), now: epoch, rng: rand.New(rand.NewPCG(1, 1))}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	var b strings.Builder
	num := func(key string, n int) int { d.MaybeScanArgs(t, key, &n); return n }
	name := func(key, v string) string { d.MaybeScanArgs(t, key, &v); return v }
	dur := func(key string) time.Duration {
		v, err := time.ParseDuration(name(key, "0s"))
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	id := ident.EndpointID(name("id", ""))
	inc := ident.Incarnation(num("inc", 1))
	switch d.Cmd {
	case "hosts":
		s.t.SetHosts(s.now, parseHosts(t, d.Input))
	case "mark-host":
		s.t.MarkHost(s.now, platformapi.Notice{Host: ident.Host(name("host", "")), Incarnation: inc, Deadline: s.now.Add(dur("in"))})
	case "mark-endpoint":
		s.t.MarkEndpoint(s.now, id, endpoint.LeavingState{Leaving: true, Incarnation: inc, Deadline: s.now.Add(dur("in"))})
	case "report":
		s.t.Report(s.now, endpoint.LoadReport{Endpoint: id, Version: ident.Version(name("version", "")), Running: num("running", 0),
			Queued: num("queued", 0), QueuedTokens: num("tokens", 0), MaxRunning: 16, PrefillPerSec: 8000, Age: dur("age")})
	case "pick":
		s.pick(&b, num("n", 1000), s.request(t, d))
	case "dispatch":
		for range num("n", 1) {
			s.dispatch(id, chain(name("prompt", "")), name("outcome", ""))
		}
	case "events":
		evs := endpoint.CacheEvents{Gap: d.HasArg("gap")}
		for i, block := range chain(name("prompt", "")) {
			evs.Events = append(evs.Events, endpoint.CacheEvent{Seq: uint64(num("seq", 1) + i), Block: block, Added: !d.HasArg("removed")})
		}
		s.t.CacheEvents(s.now, id, evs)
	case "ejected":
		for _, id := range slices.Sorted(maps.Keys(s.t.endpoints)) {
			if h := s.t.endpoints[id].health; h.ejected(s.now) {
				fmt.Fprintf(&b, "%s for %v\n", id, h.ejectedUntil.Sub(s.now))
			}
		}
	case "leaving":
		for _, w := range s.t.Leaving() {
			fmt.Fprintf(&b, "%s: %v in %v, %d in flight\n", w.Endpoint, w.Attempts, w.Deadline.Sub(s.now), len(s.t.InFlight(w.Endpoint)))
		}
	case "advance":
		s.now = s.now.Add(dur("by"))
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return b.String()
}

// chain returns the block chain of a prompt given as "a*3,b*2": three blocks named a,
// then two named b.
func chain(spec string) []uint64 {
	var out []uint64
	h := uint64(0)
	for _, part := range strings.Split(spec, ",") {
		text, times, ok := strings.Cut(part, "*")
		n, _ := strconv.Atoi(times)
		for i := 0; ok && i < n; i++ {
			h = rendezvous.Mix(h + hashString(text))
			out = append(out, h)
		}
	}
	return out
}

func parseHosts(t *testing.T, input string) []platformapi.HostInfo {
	var out []platformapi.HostInfo
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		h := platformapi.HostInfo{State: platformapi.HostLive, Incarnation: 1, PricePerHour: 1}
		for _, f := range strings.Fields(line) {
			k, v, ok := strings.Cut(f, "=")
			n, _ := strconv.ParseFloat(v, 64)
			switch {
			case !ok && h.Host == "":
				h.Host = ident.Host(f)
			case !ok: // endpoint:version
				e, version, _ := strings.Cut(f, ":")
				h.Endpoints = append(h.Endpoints, platformapi.EndpointInfo{ID: ident.EndpointID(e), Service: "s", Version: ident.Version(version)})
			case k == "dc":
				h.DataCentre = ident.DataCentre(v)
			case k == "inc":
				h.Incarnation = ident.Incarnation(n)
			case k == "price":
				h.PricePerHour = n
			case k == "state":
				h.State = platformapi.HostState(v)
			default:
				t.Fatalf("unknown field %q", f)
			}
		}
		out = append(out, h)
	}
	return out
}

func (s *script) request(t *testing.T, d *datadriven.TestData) Request {
	r := Request{Service: "s", Class: ident.ClassQuick, Shares: onlyV1}
	var shares, exclude, prompt, deadline string
	d.MaybeScanArgs(t, "shares", &shares)
	d.MaybeScanArgs(t, "exclude", &exclude)
	d.MaybeScanArgs(t, "prompt", &prompt)
	d.MaybeScanArgs(t, "deadline", &deadline)
	if shares != "" {
		r.Shares = nil
	}
	for _, part := range strings.FieldsFunc(shares, func(c rune) bool { return c == ';' }) {
		f := strings.Split(part, ":")
		w, _ := strconv.ParseFloat(f[1], 64)
		r.Shares = append(r.Shares, Share{Version: ident.Version(f[0]), Weight: w, Fallback: len(f) > 2})
	}
	if exclude != "" {
		r.Exclude = []ident.EndpointID{ident.EndpointID(exclude)}
	}
	r.Chain = chain(prompt)
	r.PromptTokens = len(r.Chain) * blockTokens
	if v, err := time.ParseDuration(deadline); err == nil {
		r.Deadline = s.now.Add(v)
	}
	return r
}

// pick picks n times and prints how often each endpoint was picked, and the last
// estimate.
func (s *script) pick(b *strings.Builder, n int, r Request) {
	got := map[string]int{}
	var e Estimate
	for range n {
		c, err := s.t.Pick(s.now, s.rng, r)
		if err != nil {
			got[fmt.Sprintf("%v, retry after %v", err, err.RetryAfter.Round(time.Millisecond))]++
			continue
		}
		got[string(c.Endpoint)]++
		e = c.Estimate
	}
	for _, k := range slices.Sorted(maps.Keys(got)) {
		fmt.Fprintf(b, "%s ×%d\n", k, got[k])
	}
	fmt.Fprintf(b, "last: wait %v prefill %v network %v\n", e.Wait.Round(time.Millisecond), e.Prefill.Round(time.Millisecond), e.Network)
}

// dispatch starts an attempt at an endpoint and finishes it if an outcome is given.
func (s *script) dispatch(id ident.EndpointID, chain []uint64, outcome string) {
	s.attempts++
	a := ident.AttemptID(fmt.Sprint("a", s.attempts))
	s.t.Dispatched(s.now, Dispatch{Attempt: a, Endpoint: id, Chain: chain, PromptTokens: len(chain) * blockTokens})
	if outcome != "" {
		s.t.Finished(s.now, Finish{Attempt: a, Outcome: map[string]Outcome{"ok": OutcomeOK, "fault": OutcomeFault}[outcome]})
	}
}
