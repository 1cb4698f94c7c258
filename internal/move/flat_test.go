package move

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// TestFlatten checks that Unflatten recovers one of two summed counters.
func TestFlatten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a, b Counter
		for _, c := range []*Counter{&a, &b} {
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				c.add(Outcome{
					Workspace: ident.Workspace(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "workspace")),
					Result:    Result(rapid.IntRange(0, 2).Draw(t, "result")),
					Latency:   time.Duration(rapid.IntRange(0, 1e10).Draw(t, "latency")),
					Size:      rapid.IntRange(0, 1e6).Draw(t, "size"),
				})
			}
		}
		sum := a
		sum.sum(&b)
		if got := Unflatten(sum.Flatten(), a.Flatten()); got != b {
			t.Fatalf("sum less the first = %+v, want %+v", got, b)
		}
		if got := Unflatten(a.Flatten()[:5], nil); got.Requests != a.Requests || got.Slices != (Counter{}).Slices {
			t.Fatalf("short list = %+v", got)
		}
	})
}
