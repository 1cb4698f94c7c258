package once_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/attempt/simclock"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/once"
	"github.com/jujubeshed/jujubeshed/internal/once/oncetest"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// settleOrder claims and finishes one order whose response body has size bytes.
func settleOrder(l *once.Ledger, store oncetest.Objects, now time.Time, i, size int) {
	key := once.Key{Workspace: "kaptaan", Name: fmt.Sprintf("2f1b7c1e-9a55-4a0b-8f6e-%012d", i)}
	attempt := ident.AttemptID(fmt.Sprintf("node-1/1/%d", i))
	store.Settle(l, now, once.Claim{Key: key, Attempt: attempt, Deadline: now.Add(30 * time.Second)})
	store.Settle(l, now, once.Outcome{Key: key, Attempt: attempt, Verdict: verdict.Ran, Answer: once.Answer{Status: 201, Body: make([]byte, size)}})
}

// TestMeasureMemory logs the memory that the ledger uses and the bytes that it stores, for
// several numbers of orders and response sizes.
func TestMeasureMemory(t *testing.T) {
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	counts := []int{1000, 5000}
	if simclock.LongSeeds() > 0 { // long mode
		counts = append(counts, 20000)
	}
	for _, size := range []int{32, 512} {
		for _, orders := range counts {
			now := time.Unix(1_700_000_000, 0)
			store := make(oncetest.Objects)
			l := once.New(once.Options{Node: "node-1", Incarnation: 1, Buckets: 64})
			for i := range orders {
				settleOrder(l, store, now, i, size)
			}
			stored, buckets := 0, 0
			for k, o := range store {
				stored += len(o.Value)
				if strings.Contains(string(k), "/bucket/") {
					buckets += len(o.Value)
				}
			}
			total := heap()
			store.Settle(l, now.Add(time.Hour), once.Tick{}) // drops idle buckets from memory
			memory := int(total) - int(heap())
			t.Logf("%5d orders with responses of %3d bytes: %d bytes of memory, %d bytes stored, %d of them in 64 buckets",
				orders, size, memory, stored, buckets)
			runtime.KeepAlive(l)
			runtime.KeepAlive(store)
		}
	}
}

// BenchmarkOrder measures the CPU time of an order (claim, outcome and the encoding of
// both writes) with 5000 earlier orders in 64 buckets.
func BenchmarkOrder(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	store := make(oncetest.Objects)
	l := once.New(once.Options{Node: "node-1", Incarnation: 1, Buckets: 64})
	for i := range 5000 {
		settleOrder(l, store, now, i, 128)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		settleOrder(l, store, now, 5000+i, 128)
	}
}
