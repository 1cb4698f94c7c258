package attempt_test

import (
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/attempt"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// BenchmarkStream measures the CPU time of a stream of 200 tokens with one token per chunk.
func BenchmarkStream(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	budget := attempt.NewBudget(attempt.BudgetOptions{})
	req := attempt.Request{ID: "r", Class: ident.ClassLong, Idempotent: true, Stream: true, Deadline: now.Add(time.Minute)}
	echo := attempt.Echo{Request: "r", Attempt: "r.1"}
	token := []string{"word "}
	b.ReportAllocs()
	for range b.N {
		m := attempt.New(req, attempt.Options{}, budget)
		m.Step(now, attempt.Start{})
		m.Step(now, attempt.Picked{Attempt: "r.1", Endpoint: "e"})
		for i := range 200 {
			m.Step(now, attempt.Chunk{Attempt: "r.1", Echo: echo, Offset: i, Tokens: token})
		}
		m.Step(now, attempt.Chunk{Attempt: "r.1", Echo: echo, Offset: 200, Finish: "stop", Total: 200})
		m.Step(now, attempt.End{Attempt: "r.1"})
	}
}
