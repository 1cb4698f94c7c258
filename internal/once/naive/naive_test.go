package naive_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/once"
	"github.com/jujubeshed/jujubeshed/internal/once/naive"
	"github.com/jujubeshed/jujubeshed/internal/once/oncetest"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// TestMain sets a fixed seed for rapid, and the number of its runs from JUJUBESHED_SEEDS.
func TestMain(m *testing.M) {
	flag.Parse()
	runs := os.Getenv("JUJUBESHED_SEEDS")
	if runs == "" {
		runs = "300"
	}
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": runs} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// nodePair is one node that runs both ledgers, each with its own store.
type nodePair struct {
	store  oncetest.Objects
	ledger *once.Ledger
	naive  *naive.Ledger
	opts   once.Options
}

func (p *nodePair) restart() {
	p.opts.Incarnation++
	p.ledger = once.New(p.opts)
	p.naive.Incarnation = p.opts.Incarnation
}

// TestSameAsNaive compares the replies of the ledger with those of the naive one for random
// calls on two nodes with random restarts.
func TestSameAsNaive(t *testing.T) {
	defer invariant.SetFatal(invariant.SetFatal(true))
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		ctx := context.Background()
		objects, naiveStore := make(oncetest.Objects), oncetest.New(1)
		var nodes []*nodePair
		for i := range 2 {
			id := ident.NodeID(fmt.Sprintf("n%d", i))
			p := &nodePair{store: objects, naive: &naive.Ledger{Store: naiveStore, Node: id}, opts: once.Options{Node: id, Buckets: 2, MaxInlineBody: 16, SealBytes: 100}}
			p.restart()
			nodes = append(nodes, p)
		}
		running := make(map[ident.AttemptID]once.Claim)
		var attempts []ident.AttemptID
		holder := make(map[ident.AttemptID]*nodePair)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			p := rapid.SampledFrom(nodes).Draw(t, "node")
			switch rapid.SampledFrom([]string{"claim", "claim", "end", "boot"}).Draw(t, "what") {
			case "claim":
				c := once.Claim{
					Key:     once.Key{Workspace: "w", Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")},
					Body:    once.DigestOf([]byte(rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "body"))),
					Attempt: ident.AttemptID(fmt.Sprint(i)), Deadline: now.Add(time.Hour),
				}
				got := p.claim(t, now, c)
				kind, answer, err := p.naive.Claim(ctx, c)
				if err != nil || got.Kind != kind || string(got.Answer.Body) != string(answer.Body) {
					t.Fatalf("claim %v: got %s %q, naive %s %q (%v)", c.Key, got.Kind, got.Answer.Body, kind, answer.Body, err)
				}
				if kind == once.Granted {
					running[c.Attempt], holder[c.Attempt] = c, p
					attempts = append(attempts, c.Attempt)
				}
			case "end":
				if len(attempts) == 0 {
					continue
				}
				a := rapid.SampledFrom(attempts).Draw(t, "attempt")
				c, ok := running[a]
				if !ok {
					continue // has an outcome already
				}
				delete(running, a)
				o := once.Outcome{Key: c.Key, Attempt: a, Verdict: rapid.SampledFrom([]verdict.Verdict{verdict.Ran, verdict.MayHaveRun, verdict.NotRun}).Draw(t, "verdict")}
				if o.Verdict == verdict.Ran {
					o.Answer = once.Answer{Status: 200, Body: []byte(fmt.Sprintf("%*s", rapid.IntRange(1, 32).Draw(t, "size"), a))}
				}
				_, recorded := objects.Settle(holder[a].ledger, now, o)
				if err := holder[a].naive.Finish(ctx, o); len(recorded) != 1 || recorded[0].Stale != (err != nil) {
					t.Fatalf("outcome %v: %v, naive %v", o, recorded, err)
				}
			case "boot":
				p.restart()
			}
		}
	})
}

// claim returns the reply to a claim. A claim that waits is withdrawn.
func (p *nodePair) claim(t *rapid.T, now time.Time, c once.Claim) once.Reply {
	replies, _ := p.store.Settle(p.ledger, now, c)
	if len(replies) == 0 {
		replies, _ = p.store.Settle(p.ledger, now, once.Withdraw{Key: c.Key, Attempt: c.Attempt})
	}
	if len(replies) != 1 {
		t.Fatalf("claim %v got %d replies", c.Key, len(replies))
	}
	return replies[0]
}
