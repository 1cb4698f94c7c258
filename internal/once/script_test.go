package once_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/once"
	"github.com/jujubeshed/jujubeshed/internal/once/oncetest"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// script runs the ledgers of several nodes over one store. The script decides when each
// store call completes and with which result.
type script struct {
	now   time.Time
	store oncetest.Objects
	nodes map[string]*once.Ledger
	calls map[string][]once.Action // in flight, by node
	late  []once.Action            // writes whose caller got a time-out, and that take effect later
	out   strings.Builder
}

func (s *script) step(node string, ev once.Event) {
	for _, a := range s.nodes[node].Step(s.now, ev) {
		s.handleAction(node, a)
	}
}

func (s *script) handleAction(node string, a once.Action) {
	switch a := a.(type) {
	case once.StoreGet:
		s.calls[node] = append(s.calls[node], a)
		fmt.Fprintf(&s.out, "%s: get %s\n", node, a.Object)
	case once.StorePut:
		s.calls[node] = append(s.calls[node], a)
		fmt.Fprintf(&s.out, "%s: put %s if version %d\n", node, a.Object, a.Expect)
	case once.StoreDelete:
		fmt.Fprintf(&s.out, "%s: delete %s\n", node, a.Object)
		delete(s.store, a.Object)
	case once.Reply:
		fmt.Fprintf(&s.out, "%s: %s %s", node, a.Attempt, a.Kind)
		if a.Err != nil {
			fmt.Fprintf(&s.out, " [%s %s after %s]", a.Err.Verdict, a.Err.Code, a.Err.RetryAfter)
		}
		if a.Kind == once.Replayed {
			fmt.Fprintf(&s.out, " %d %v %s", a.Answer.Status, a.Answer.Headers, abbreviate(a.Answer.Body))
		}
		fmt.Fprintln(&s.out)
	case once.Recorded:
		fmt.Fprintf(&s.out, "%s: %s recorded stale=%t\n", node, a.Attempt, a.Stale)
	}
}

func abbreviate(b []byte) string {
	if len(b) > 40 {
		return fmt.Sprintf("%d bytes of %q", len(b), b[0])
	}
	return string(b)
}

// complete completes the oldest store call of a node with a result: "ok";
// "response-lost" (took effect, result unknown); "request-lost" (no effect, result
// unknown); "late" (times out and takes effect later); or "down" (store unavailable).
func (s *script) complete(node, outcome string) {
	act := s.calls[node][0]
	s.calls[node] = s.calls[node][1:]
	fail := func(err error) {
		r := s.resultOf(act)
		r.Object, r.Err = platformapi.Object{}, err
		s.step(node, r)
	}
	switch outcome {
	case "ok":
		s.step(node, s.store.Do(act))
	case "response-lost":
		s.store.Do(act)
		fail(platformapi.ErrUnknown)
	case "request-lost":
		fail(platformapi.ErrUnknown)
	case "late":
		s.late = append(s.late, act)
		fail(errors.New("timeout"))
	case "down":
		fail(platformapi.ErrUnavailable)
	}
}

func (s *script) resultOf(a once.Action) once.StoreResult {
	if g, ok := a.(once.StoreGet); ok {
		return once.StoreResult{Call: g.Call}
	}
	return once.StoreResult{Call: a.(once.StorePut).Call}
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	arg := func(name, def string) string {
		if d.HasArg(name) {
			d.ScanArgs(t, name, &def)
		}
		return def
	}
	dur := func(name, def string) time.Duration {
		v, err := time.ParseDuration(arg(name, def))
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		return v
	}
	node := arg("node", "a")
	key := once.Key{Workspace: "w", Name: arg("key", "k")}
	attempt := ident.AttemptID(arg("attempt", ""))
	body := strings.Repeat(arg("body", "1"), int(dur("size", "1ns")))
	s.out.Reset()
	switch d.Cmd {
	case "node":
		var inc, maxBytes, seal int
		d.MaybeScanArgs(t, "inc", &inc)
		d.MaybeScanArgs(t, "max", &maxBytes)
		d.MaybeScanArgs(t, "seal", &seal)
		s.nodes[node] = once.New(once.Options{
			Node: ident.NodeID(node), Incarnation: ident.Incarnation(inc), Buckets: 1, MaxBucketBytes: maxBytes, SealBytes: seal,
		})
		s.calls[node] = nil
	case "claim":
		s.step(node, once.Claim{Key: key, Attempt: attempt, Body: once.DigestOf([]byte(body)), Deadline: s.now.Add(dur("deadline", "30s"))})
	case "outcome":
		s.step(node, once.Outcome{Key: key, Attempt: attempt, Verdict: verdict.Parse(arg("verdict", "ran")), Answer: once.Answer{
			Status: 201, Headers: []once.HeaderField{{Name: "Content-Type", Value: "text/plain"}}, Body: []byte(body),
		}})
	case "withdraw":
		s.step(node, once.Withdraw{Key: key, Attempt: attempt})
	case "gone":
		s.step(node, once.NodeGone{Node: ident.NodeID(arg("who", "")), Incarnation: 2})
	case "complete":
		s.complete(node, arg("result", "ok"))
	case "settle":
		for len(s.calls[node]) > 0 {
			s.complete(node, "ok")
		}
	case "late-effect":
		for _, act := range s.late {
			fmt.Fprintf(&s.out, "late write: %v\n", s.store.Do(act).Err)
		}
		s.late = nil
	case "lose-segments":
		for k := range s.store {
			if strings.HasPrefix(string(k), "once/segment/") {
				delete(s.store, k)
			}
		}
	case "tick":
		s.now = s.now.Add(dur("d", "0s"))
		s.step(node, once.Tick{})
	case "next":
		fmt.Fprintf(&s.out, "%s\n", s.nodes[node].Next().Sub(s.now))
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
	return s.out.String()
}

func TestScripts(t *testing.T) {
	defer invariant.SetFatal(invariant.SetFatal(true))
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{
			now: time.Unix(1_700_000_000, 0), store: make(oncetest.Objects),
			nodes: make(map[string]*once.Ledger), calls: make(map[string][]once.Action),
		}
		datadriven.RunTest(t, path, s.run)
	})
}
