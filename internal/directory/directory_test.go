package directory_test

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/directory"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/platform"
	"github.com/jujubeshed/jujubeshed/platform/platformtest"
)

var quiet = slog.New(slog.DiscardHandler)

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Errorf("never: %s", what)
}

type config struct {
	Version uint64 `json:"version"`
}

func newSite(t *testing.T) (*platformtest.Store, *platform.Store, *directory.CurrentConfig) {
	t.Helper()
	standin := platformtest.New()
	srv := httptest.NewServer(standin.Handler())
	t.Cleanup(srv.Close)
	store := platform.NewStore(srv.Listener.Addr().String(), prometheus.NewRegistry())
	return standin, store, directory.NewCurrentConfig(platform.ConfigKey, platform.DecodeConfig, quiet)
}

func start(t *testing.T, w *directory.Watcher) {
	t.Helper()
	if err := w.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = w.Stop(context.Background()) })
}

// TestConfigNeverGoesBack: whoever tells of an older version.
func TestConfigNeverGoesBack(t *testing.T) {
	standin, store, current := newSite(t)
	start(t, directory.NewWatcher(directory.WatcherOptions{Store: store, Relay: store, Prefix: "config", Listener: current, WatchesStore: func() bool { return true }, Log: quiet}))
	standin.Set("config", "main", config{7})
	eventually(t, "version 7", func() bool { return current.Version() == 7 })
	standin.Set("config", "main", config{5})
	current.Offer([]byte(`{"version":6}`), "peer")
	current.Offer([]byte(`not a configuration`), "peer")
	standin.Remove("config", "main")
	standin.Set("config", "main", config{9})
	eventually(t, "version 9", func() bool { return current.Version() == 9 })
	if string(current.Raw()) != `{"version":9}` {
		t.Errorf("raw is %s", current.Raw())
	}
}

// TestDeafWatch: a watch that waits may hear nothing of a change. A node on which the
// others rely finds it all the same, and a nudge wakes the others.
func TestDeafWatch(t *testing.T) {
	standin, store, alert := newSite(t)
	relaxed := directory.NewCurrentConfig(platform.ConfigKey, platform.DecodeConfig, quiet)
	start(t, directory.NewWatcher(directory.WatcherOptions{Store: store, Relay: store, Prefix: "config", Listener: alert, WatchesStore: func() bool { return true }, Log: quiet}))
	waiting := directory.NewWatcher(directory.WatcherOptions{Store: store, Relay: store, Prefix: "config", Listener: relaxed, WatchesStore: func() bool { return false }, Log: quiet})
	start(t, waiting)
	standin.Set("config", "main", config{1})
	eventually(t, "version 1 at both", func() bool { return alert.Version() == 1 && relaxed.Version() == 1 })
	standin.SetFaults(platformtest.Faults{DropWatchEvents: true})
	time.Sleep(20 * time.Millisecond) // both watches wait
	seen := standin.Set("config", "main", config{2})
	standin.Compact()
	eventually(t, "version 2 at the alert node", func() bool { return alert.Version() == 2 })
	if relaxed.Version() != 1 {
		t.Error("the waiting watch heard of a change that was kept from it")
	}
	waiting.NotifyVersion(platformapi.Version(seen))
	eventually(t, "version 2 after the nudge", func() bool { return relaxed.Version() == 2 })
}

// TestNodeBecomesAlert: where the nodes that watched closely are cut off, another
// one must not wait out its long watch before it takes their place.
func TestNodeBecomesAlert(t *testing.T) {
	standin, store, current := newSite(t)
	var alert atomic.Bool
	w := directory.NewWatcher(directory.WatcherOptions{Store: store, Relay: store, Prefix: "config", Listener: current, WatchesStore: alert.Load, Log: quiet})
	start(t, w)
	standin.Set("config", "main", config{1})
	eventually(t, "version 1", func() bool { return current.Version() == 1 })
	standin.SetFaults(platformtest.Faults{DropWatchEvents: true})
	time.Sleep(20 * time.Millisecond) // the watch waits
	standin.Set("config", "main", config{2})
	standin.Compact()
	alert.Store(true)
	eventually(t, "version 2", func() bool {
		w.Recheck()
		return current.Version() == 2
	})
}

type entry struct {
	Service string `json:"service"`
	Addr    string `json:"addr"`
	State   string `json:"state"`
	Slots   int    `json:"slots"`
}

func ready(addr string) entry { return entry{"s", addr, "ready", 4} }

// TestEndpointsThroughAnOutage: what lapses while the store is away serves as a last
// resort for a while; entries that name no endpoint harm no other.
func TestEndpointsThroughAnOutage(t *testing.T) {
	standin, store, _ := newSite(t)
	var listed, missing atomic.Int32
	registry := directory.NewRegistry(platform.DecodeEndpoint, directory.MissingRetention, func(_ time.Time, l, m []site.Endpoint) {
		listed.Store(int32(len(l)))
		missing.Store(int32(len(m)))
	}, quiet)
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		standin.Set("servers", name, ready("10.0.0.1:80"))
	}
	standin.Set("servers", "broken", "no object")
	start(t, directory.NewWatcher(directory.WatcherOptions{Store: store, Relay: store, Prefix: "servers", Listener: registry, WatchesStore: func() bool { return true }, Log: quiet}))
	eventually(t, "six endpoints", func() bool { return listed.Load() == 6 && registry.Loaded() })
	standin.Set("servers", "b", 17)
	eventually(t, "five endpoints", func() bool { return listed.Load() == 5 })
	standin.SetFaults(platformtest.Faults{Down: true})
	for _, name := range []string{"c", "d", "e", "f"} {
		standin.Remove("servers", name)
	}
	standin.Compact()
	standin.SetFaults(platformtest.Faults{})
	eventually(t, "one endpoint and the missing ones", func() bool { return listed.Load() == 1 && missing.Load() >= 4 })
	standin.Set("servers", "c", ready("10.0.0.1:80"))
	eventually(t, "c is back", func() bool { return listed.Load() == 2 })
	registry.Tick(time.Now().Add(directory.MissingRetention + time.Second))
	if missing.Load() != 0 {
		t.Errorf("%d endpoints are still used after their grace", missing.Load())
	}
}

func TestEndpointsGrace(t *testing.T) {
	now := time.Unix(1000, 0)
	s := directory.NewEndpoints(directory.MissingRetention)
	s.Set(site.Endpoint{ID: "a"})
	s.Set(site.Endpoint{ID: "b", Leaving: true})
	s.Remove(now, "a")
	s.Remove(now, "b")
	s.Remove(now, "never seen")
	if m := s.Missing(); len(m) != 1 || m[0].ID != "a" {
		t.Errorf("missing are %v: one that left by its own word needs no grace", m)
	}
	s.Set(site.Endpoint{ID: "a"})
	if len(s.Missing()) != 0 || len(s.Listed()) != 1 {
		t.Errorf("after its return: listed %v, missing %v", s.Listed(), s.Missing())
	}
	s.Replace(now, []site.Endpoint{{ID: "c"}})
	if got := s.Listed(); len(got) != 1 || got[0].ID != ident.EndpointID("c") {
		t.Errorf("after a new list: %v", got)
	}
	if s.Expire(now.Add(directory.MissingRetention)) || !s.Expire(now.Add(directory.MissingRetention+1)) {
		t.Error("the grace has another length")
	}
}

// follow is a source that asks another node's watcher.
type follow struct{ w *directory.Watcher }

func (f follow) Snapshot(ctx context.Context, _ platformapi.Key) (platformapi.Snapshot, error) {
	r, err := f.w.Changes(ctx, 0, 0)
	return platformapi.Snapshot{Objects: r.Changed, Position: r.Position}, err
}

func (f follow) Watch(ctx context.Context, _ platformapi.Key, after uint64, wait time.Duration) (platformapi.WatchResult, error) {
	return f.w.Changes(ctx, after, wait)
}

// TestFollowersSeeWhatTheStoreHas: a node that follows another one has the same
// objects, through removals and a dropped history, without a call to the store.
func TestFollowersSeeWhatTheStoreHas(t *testing.T) {
	standin, store, _ := newSite(t)
	sets := make([]atomic.Pointer[[]site.Endpoint], 2)
	registry := func(i int) *directory.Registry {
		return directory.NewRegistry(platform.DecodeEndpoint, directory.MissingRetention, func(_ time.Time, l, _ []site.Endpoint) { sets[i].Store(&l) }, quiet)
	}
	leader := directory.NewWatcher(directory.WatcherOptions{Store: store, Relay: store, Prefix: "servers", Listener: registry(0), WatchesStore: func() bool { return true }, Log: quiet})
	follower := directory.NewWatcher(directory.WatcherOptions{Store: store, Relay: follow{leader}, Prefix: "servers", Listener: registry(1), WatchesStore: func() bool { return false }, Log: quiet})
	standin.Set("servers", "a", ready("10.0.0.1:80"))
	start(t, leader)
	start(t, follower)
	has := func(i, n int) func() bool {
		return func() bool { l := sets[i].Load(); return l != nil && len(*l) == n }
	}
	eventually(t, "one endpoint at the follower", has(1, 1))
	for _, name := range []string{"b", "c", "d"} {
		standin.Set("servers", name, ready("10.0.0.2:80"))
	}
	standin.Remove("servers", "a")
	eventually(t, "three endpoints at the follower", has(1, 3))
	standin.SetFaults(platformtest.Faults{Down: true})
	standin.Set("servers", "e", ready("10.0.0.3:80"))
	standin.Compact()
	standin.SetFaults(platformtest.Faults{})
	eventually(t, "four endpoints at the leader", has(0, 4))
	eventually(t, "four endpoints at the follower", has(1, 4))
	if _, err := follower.Changes(context.Background(), 0, 0); err == nil {
		t.Error("a follower poses as one that follows the store")
	}
}
