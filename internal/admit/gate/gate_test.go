package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/jujubeshed/jujubeshed/internal/admit"
	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func request(class ident.Class, d time.Duration) admit.Request {
	return admit.Request{Workspace: "a", Class: class, Service: "s", Deadline: time.Now().Add(d)}
}

// TestConcurrent sends many concurrent requests to a service with few slots. At most as
// many as the capacity run at once, and each caller gets a slot or a NotRun refusal.
func TestConcurrent(t *testing.T) {
	invariant.SetFatal(true)
	const capacity, callers = 4, 64
	g := New(Options{})
	defer g.Close()
	g.SetLiveNodes(1)
	g.SetWorkspaces(map[ident.Workspace]config.WorkspaceConfig{"a": {RatePerSecond: 1e6, Concurrency: 100}})
	g.SetCapacity("s", capacity)
	var running, served, refused atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			release, err := g.Acquire(t.Context(), request(ident.ClassLong, time.Hour))
			if err != nil {
				refused.Add(1)
				if verdict.Of(err) != verdict.NotRun {
					t.Error(err)
				}
				return
			}
			if n := running.Add(1); n > capacity {
				t.Errorf("%d requests run at once", n)
			}
			time.Sleep(time.Millisecond)
			running.Add(-1)
			served.Add(1)
			release()
			release()
		})
	}
	wg.Wait()
	if served.Load()+refused.Load() != callers || served.Load() == 0 {
		t.Errorf("%d served, %d refused of %d", served.Load(), refused.Load(), callers)
	}
}

// TestWaitEnds ends a wait by the timer and by the context, and checks that the slot
// is free after the release.
func TestWaitEnds(t *testing.T) {
	o := Options{}
	o.Admit.Classes[ident.ClassQuick] = admit.ClassOptions{
		MaxWait: 20 * time.Millisecond, ServiceTime: time.Millisecond, WorkspaceShare: 1, CapacityShare: 1,
	}
	g := New(o)
	defer g.Close()
	g.SetCapacity("s", 1)
	release, err := g.Acquire(t.Context(), request(ident.ClassQuick, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := g.Acquire(t.Context(), request(ident.ClassQuick, time.Minute)); verdict.From(err).Code != verdict.CodeDeadline {
		t.Errorf("queued request ended with %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := g.Acquire(ctx, request(ident.ClassQuick, time.Minute)); verdict.Of(err) != verdict.NotRun {
		t.Errorf("cancelled request ended with %v", err)
	}
	release()
	release2, err := g.Acquire(t.Context(), request(ident.ClassQuick, time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	release2()
}
