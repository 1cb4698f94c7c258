package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// TestBackoffIsRespected checks that an endpoint that wants no calls is not chosen, also not as
// a last resort or as the source of KV cache, that its share goes to the others, and that it
// is used again after that without having been ejected.
func TestBackoffIsRespected(t *testing.T) {
	now := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	table := New(Options{DataCentre: "a"})
	a, b := llmEndpoint("a"), llmEndpoint("b")
	table.SetEndpoints(now, []site.Endpoint{a, b}, nil, services)
	r := Request{Service: a.Service, Prompt: Prompt{Input: 100, Output: 10}}
	table.BackOff(now, a, 2*time.Second)
	table.BackOff(now, a, time.Second) // the longer time stays
	for i := range 50 {
		at := now.Add(time.Duration(i) * 39 * time.Millisecond)
		c, err := table.Pick(at, rng, r)
		if err != nil || c.Endpoint.ID != b.ID {
			t.Fatalf("after %s: chose %q, error %v", at.Sub(now), c.Endpoint.ID, err)
		}
	}
	if err := table.MaySend(now, a, SendCall); err == nil || err.Verdict != verdict.NotRun {
		t.Errorf("sending to an endpoint that wants no calls: %v", err)
	}
	if err := table.MaySend(now, b, SendRequest); err != nil {
		t.Errorf("sending to the other endpoint: %v", err)
	}
	later := now.Add(2*time.Second + time.Millisecond)
	if table.BackingOff(later, a.ID) || table.members[a.ID].health.ejected(later) || table.MaySend(later, a, SendRequest) != nil {
		t.Error("the endpoint is not used again when its time is over")
	}
	next := a
	next.Started = now.Add(time.Second)
	table.SetEndpoints(now, []site.Endpoint{next, b}, nil, services)
	if table.BackingOff(now, a.ID) {
		t.Error("the time that one incarnation asked for holds for the next")
	}
	table.BackOff(now, a, time.Second)
	if table.BackingOff(now, a.ID) {
		t.Error("a late response of an earlier incarnation holds for the next")
	}
}

// TestLeavingEndpointGetsNoNewRequest checks that a choice that was made before an endpoint
// turned out to leave is not sent there, and that its running requests may continue there.
func TestLeavingEndpointGetsNoNewRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(Options{DataCentre: "a"})
	a := llmEndpoint("a")
	table.SetEndpoints(now, []site.Endpoint{a}, nil, services)
	leaving := a
	leaving.Leaving = true
	table.SetEndpoints(now, []site.Endpoint{leaving}, nil, services)
	if err := table.MaySend(now, a, SendRequest); err == nil || err.Verdict != verdict.NotRun {
		t.Errorf("new request: %v", err)
	}
	if err := table.MaySend(now, a, SendContinuation); err != nil {
		t.Errorf("running request: %v", err)
	}
	if err := table.MaySend(now, llmEndpoint("gone"), SendRequest); err == nil {
		t.Error("new request to an endpoint that is no longer known")
	}
}

// TestHerdAfterShed: pattern "herd after a shed". All endpoints of a service turn requests
// away for two seconds at once. The callers of many nodes are refused meanwhile, and return
// after the retry delay of their refusal. No endpoint may get a call before its time, every
// caller must return after the first endpoint accepts calls, and the arrivals after that must
// stay below a multiple of the usual ones in each tenth of a second.
func TestHerdAfterShed(t *testing.T) {
	const (
		nodes     = 200
		endpoints = 20
		rate      = 2000 // callers per second, all nodes together
		shed      = 2 * time.Second
		bin       = 100 * time.Millisecond
		// maxPeak is the permitted peak as a multiple of the usual arrivals: the callers of
		// the shed return over as long a time, together with the new ones.
		maxPeak = 3
	)
	start := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(3, 1))
	var list []site.Endpoint
	for i := range endpoints {
		list = append(list, llmEndpoint(fmt.Sprint("e", i)))
	}
	tables := make([]*Table, nodes)
	for i := range tables {
		tables[i] = New(Options{DataCentre: "a"})
		tables[i].SetEndpoints(start, list, nil, services)
		tables[i].SetNodes(nodes)
		for _, e := range list {
			tables[i].BackOff(start, e, shed)
		}
	}
	arrivals := make(map[int]int)
	for i := range rate * int(2*shed/time.Second) {
		at := start.Add(time.Duration(i) * time.Second / rate)
		table := tables[rng.IntN(nodes)]
		c, err := table.Pick(at, rng, Request{Service: list[0].Service, Prompt: Prompt{Input: 100, Output: 10}})
		switch {
		case at.Before(start.Add(shed)) && err == nil:
			t.Fatalf("endpoint %q is chosen %s before its time", c.Endpoint.ID, start.Add(shed).Sub(at))
		case err != nil && at.Add(err.RetryAfter).Before(start.Add(shed)):
			t.Fatalf("a caller returns after %s, %s before the first endpoint accepts calls", err.RetryAfter, start.Add(shed).Sub(at.Add(err.RetryAfter)))
		case err != nil:
			at = at.Add(err.RetryAfter)
		default:
			table.Finished(at, ident.AttemptID(fmt.Sprint(i)), OutcomeSuccess)
		}
		arrivals[int(at.Sub(start)/bin)]++
	}
	usual := rate * int(bin) / int(time.Second)
	for b, n := range arrivals {
		if n > maxPeak*usual {
			t.Errorf("%d callers arrive within 100 ms, %s after the shed; usual are %d", n, time.Duration(b)*bin, usual)
		}
	}
}

// TestReportedTerminationTime checks that the time that a leaving endpoint reports replaces
// the one assumed when it was first seen as leaving, once.
func TestReportedTerminationTime(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(Options{DataCentre: "a", DrainTime: 2 * time.Second})
	a := llmEndpoint("a")
	set := func(at time.Time, leavesIn time.Duration) time.Time {
		a.Leaving, a.LeavesIn = true, leavesIn
		table.SetEndpoints(at, []site.Endpoint{a}, nil, services)
		end, _ := table.TerminationTime(a.ID)
		return end
	}
	if end := set(now, 0); !end.Equal(now.Add(2 * time.Second)) {
		t.Errorf("assumed end after %s", end.Sub(now))
	}
	reported := now.Add(300 * time.Millisecond)
	if end := set(reported, 1500*time.Millisecond); !end.Equal(reported.Add(1500 * time.Millisecond)) {
		t.Errorf("end after %s", end.Sub(now))
	}
	if end := set(reported.Add(time.Second), 1500*time.Millisecond); !end.Equal(reported.Add(1500 * time.Millisecond)) {
		t.Errorf("a repeated report moves the end to %s", end.Sub(now))
	}
}

// TestLateContinuationIsNotSent guards against continuations of stopped runs that reach an engine that
// accepts none any more, or its next incarnation, whose copies may have the same handles: a node was
// paused, or waited for a connection, between the choice and the first byte. Calls are accepted until
// the engine terminates.
func TestLateContinuationIsNotSent(t *testing.T) {
	const drain = 2 * time.Second
	now := time.Unix(1000, 0)
	a := llmEndpoint("a")
	leaving, next := a, a
	leaving.Leaving, leaving.LeavesIn = true, time.Minute
	next.Started = now.Add(time.Second)
	for name, c := range map[string]struct {
		listed, missing []site.Endpoint
		after           time.Duration
		sent            bool
	}{
		"ready":            {listed: []site.Endpoint{a}, after: time.Hour, sent: true},
		"leaving":          {listed: []site.Endpoint{leaving}, after: drain / 2, sent: true},
		"leaving, late":    {listed: []site.Endpoint{leaving}, after: drain},
		"missing":          {missing: []site.Endpoint{a}, after: drain / 2, sent: true},
		"missing, late":    {missing: []site.Endpoint{a}, after: drain},
		"removed":          {},
		"next incarnation": {listed: []site.Endpoint{next}},
	} {
		table := New(Options{DataCentre: "a", DrainTime: drain})
		table.SetEndpoints(now, []site.Endpoint{a}, nil, services)
		table.SetEndpoints(now, c.listed, c.missing, services)
		err := table.MaySend(now.Add(c.after), a, SendContinuation)
		if (err == nil) != c.sent || err != nil && (err.Verdict != verdict.NotRun || err.Code != verdict.CodeNotSent) {
			t.Errorf("%s: continuation: %v", name, err)
		}
		if err := table.MaySend(now.Add(c.after), a, SendCall); err != nil {
			t.Errorf("%s: call: %v", name, err)
		}
	}
}

// TestAcceptsUntil checks until when requests that continue are sent to a leaving endpoint: before the
// drain time has passed since its report, and before it terminates.
func TestAcceptsUntil(t *testing.T) {
	const drain = 2 * time.Second
	now := time.Unix(1000, 0)
	a := llmEndpoint("a")
	leaving := func(in time.Duration) site.Endpoint {
		e := a
		e.Leaving, e.LeavesIn = true, in
		return e
	}
	for name, c := range map[string]struct {
		listed, missing []site.Endpoint
		limited, known  bool
		most            time.Duration
	}{
		"ready":                {listed: []site.Endpoint{a}, known: true},
		"removed":              {},
		"missing":              {missing: []site.Endpoint{a}, limited: true, known: true, most: drain},
		"leaving":              {listed: []site.Endpoint{leaving(0)}, limited: true, known: true, most: drain},
		"leaving soon":         {listed: []site.Endpoint{leaving(time.Second)}, limited: true, known: true, most: time.Second},
		"leaving later":        {listed: []site.Endpoint{leaving(time.Minute)}, limited: true, known: true, most: drain},
		"leaving, now missing": {missing: []site.Endpoint{leaving(time.Minute)}, limited: true, known: true, most: drain},
	} {
		table := New(Options{DataCentre: "a", DrainTime: drain})
		table.SetEndpoints(now, []site.Endpoint{a}, nil, services)
		table.SetEndpoints(now, c.listed, c.missing, services)
		table.SetEndpoints(now.Add(500*time.Millisecond), c.listed, c.missing, services)
		until, known := table.AcceptsUntil(a)
		if known != c.known || until.IsZero() == c.limited || c.limited && (until.After(now.Add(c.most)) || until.Before(now.Add(c.most/2))) {
			t.Errorf("%s: known %t, until %s", name, known, until.Sub(now))
		}
	}
}
