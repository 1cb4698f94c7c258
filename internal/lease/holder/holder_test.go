package holder

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/lease"
	"github.com/jujubeshed/jujubeshed/internal/standin/memstore"
)

func TestMain(m *testing.M) {
	invariant.SetFatal(true)
	goleak.VerifyTestMain(m)
}

// TestTakeover runs two candidates on a store that loses requests and responses; the second
// acquires the lease once the first has released it.
func TestTakeover(t *testing.T) {
	store := memstore.New(memstore.Options{Seed: 1})
	store.SetFaults(memstore.Faults{LoseAnswer: 0.2, LoseRequest: 0.1})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	open := func(node ident.NodeID) *Holder {
		h, err := New(Options{Store: store, Name: "move/a", Owner: lease.Owner{Node: node}, Lease: lease.Options{Term: time.Second}})
		if err != nil {
			t.Fatal(err)
		}
		wg.Go(func() { _ = h.Run(ctx) })
		return h
	}
	a := open("a")
	first := waitHeld(t, a)
	b := open("b")
	if _, held := b.Held(); held {
		t.Error("lease is held by both nodes")
	}
	a.Release(true)
	if _, held := a.Held(); held {
		t.Error("lease is held after its release")
	}
	if second := waitHeld(t, b); second <= first {
		t.Errorf("epoch %d after takeover is not above %d", second, first)
	}
}

func waitHeld(t *testing.T, h *Holder) uint64 {
	t.Helper()
	for range 2000 {
		if epoch, held := h.Held(); held {
			return uint64(epoch)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("lease was not acquired within 10 s")
	return 0
}
