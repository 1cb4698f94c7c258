package directory_test

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
	"github.com/jujubeshed/jujubeshed/internal/directory"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/platform"
	"github.com/jujubeshed/jujubeshed/platform/platformtest"
)

var discardLog = slog.New(slog.DiscardHandler)

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Errorf("not within 10 s: %s", what)
}

type config struct {
	Version uint64 `json:"version"`
}

func newStore(t *testing.T) (*platformtest.Store, *platform.Store, *directory.CurrentConfig) {
	t.Helper()
	standin := platformtest.New()
	srv := httptest.NewServer(standin.Handler())
	t.Cleanup(srv.Close)
	store := platform.NewStore(srv.Listener.Addr().String(), bytebudget.New(0), prometheus.NewRegistry(), slog.New(slog.DiscardHandler))
	return standin, store, directory.NewCurrentConfig(platform.ConfigKey, platform.DecodeConfig, discardLog)
}

func startWatcher(t *testing.T, w *directory.Watcher) {
	t.Helper()
	if err := w.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = w.Stop(context.Background()) })
}

// TestConfigVersionNeverDecreases checks that older, undecodable and removed configurations
// from the store or a peer do not replace the one in force.
func TestConfigVersionNeverDecreases(t *testing.T) {
	standin, store, current := newStore(t)
	startWatcher(t, directory.NewWatcher(directory.WatcherOptions{Store: store, Relay: store, Prefix: "config", Listener: current, WatchesStore: func() bool { return true }, Log: discardLog}))
	standin.Set("config", "main", config{7})
	eventually(t, "version 7", func() bool { return current.Version() == 7 })
	standin.Set("config", "main", config{5})
	current.Offer([]byte(`{"version":6}`), "peer")
	current.Offer([]byte(`not a configuration`), "peer")
	standin.Remove("config", "main")
	standin.Set("config", "main", config{9})
	eventually(t, "version 9", func() bool { return current.Version() == 9 })
	if string(current.Raw()) != `{"version":9}` {
		t.Errorf("raw configuration is %s, want version 9", current.Raw())
	}
}

// TestWatchMissesChange: a watch in progress may miss a change. A node that watches the
// store finds the change with its next watch, and NotifyVersion makes the others query
// the store.
func TestWatchMissesChange(t *testing.T) {
	standin, store, storeWatcherConfig := newStore(t)
	relayedConfig := directory.NewCurrentConfig(platform.ConfigKey, platform.DecodeConfig, discardLog)
	startWatcher(t, directory.NewWatcher(directory.WatcherOptions{Store: store, Relay: store, Prefix: "config", Listener: storeWatcherConfig, WatchesStore: func() bool { return true }, Log: discardLog}))
	relayWatcher := directory.NewWatcher(directory.WatcherOptions{Store: store, Relay: store, Prefix: "config", Listener: relayedConfig, WatchesStore: func() bool { return false }, Log: discardLog})
	startWatcher(t, relayWatcher)
	standin.Set("config", "main", config{1})
	eventually(t, "version 1 at both", func() bool { return storeWatcherConfig.Version() == 1 && relayedConfig.Version() == 1 })
	standin.SetFaults(platformtest.Faults{DropWatchEvents: true})
	time.Sleep(20 * time.Millisecond) // until both watches are in progress
	seen := standin.Set("config", "main", config{2})
	standin.Compact()
	eventually(t, "version 2 at the node that watches the store", func() bool { return storeWatcherConfig.Version() == 2 })
	if relayedConfig.Version() != 1 {
		t.Error("the watch at the relay received a change that the fault withholds")
	}
	relayWatcher.NotifyVersion(platformapi.NewVersion(store.Era(), seen))
	eventually(t, "version 2 after NotifyVersion", func() bool { return relayedConfig.Version() == 2 })
}

// TestNodeStartsWatchingStore: when the nodes that watched the store are cut off, another
// node must start to watch it at once, before its long watch at a relay times out.
func TestNodeStartsWatchingStore(t *testing.T) {
	standin, store, current := newStore(t)
	var watchesStore atomic.Bool
	w := directory.NewWatcher(directory.WatcherOptions{Store: store, Relay: store, Prefix: "config", Listener: current, WatchesStore: watchesStore.Load, Log: discardLog})
	startWatcher(t, w)
	standin.Set("config", "main", config{1})
	eventually(t, "version 1", func() bool { return current.Version() == 1 })
	standin.SetFaults(platformtest.Faults{DropWatchEvents: true})
	time.Sleep(20 * time.Millisecond) // until the watch is in progress
	standin.Set("config", "main", config{2})
	standin.Compact()
	watchesStore.Store(true)
	eventually(t, "version 2", func() bool {
		w.Recheck()
		return current.Version() == 2
	})
}

// TestHistoryBeyondResponse guards against a node that keeps an old configuration since the changes
// that it has missed do not fit into one response of the store: it lists the objects instead.
func TestHistoryBeyondResponse(t *testing.T) {
	standin, store, current := newStore(t)
	large := func(version uint64) any {
		return map[string]any{"version": version, "x": strings.Repeat("x", 1<<20-200)}
	}
	standin.Set("config", "main", large(1))
	startWatcher(t, directory.NewWatcher(directory.WatcherOptions{Store: store, Relay: store, Prefix: "config", Listener: current, WatchesStore: func() bool { return true }, Log: discardLog}))
	eventually(t, "version 1", func() bool { return current.Version() == 1 })
	standin.SetFaults(platformtest.Faults{Down: true})
	for v := uint64(2); v <= 12; v++ {
		standin.Set("config", "main", large(v))
	}
	standin.SetFaults(platformtest.Faults{})
	eventually(t, "version 12", func() bool { return current.Version() == 12 })
}

type entry struct {
	Service string `json:"service"`
	Addr    string `json:"addr"`
	State   string `json:"state"`
	Slots   int    `json:"slots"`
}

func readyEntry(addr string) entry { return entry{"s", addr, "ready", 4} }

// TestEndpointsSurviveStoreOutage checks that endpoints whose registrations expire during a
// store outage serve as a last resort for the grace period, and that entries that cannot
// be decoded do not affect others.
func TestEndpointsSurviveStoreOutage(t *testing.T) {
	standin, store, _ := newStore(t)
	var listed, missing atomic.Int32
	registry := directory.NewRegistry(platform.DecodeEndpoint, directory.MissingRetention, directory.DefaultDoubtTime, func(_ time.Time, l, m []site.Endpoint) {
		listed.Store(int32(len(l)))
		missing.Store(int32(len(m)))
	}, discardLog)
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		standin.Set("servers", name, readyEntry("10.0.0.1:80"))
	}
	standin.Set("servers", "broken", "no object")
	startWatcher(t, directory.NewWatcher(directory.WatcherOptions{Store: store, Relay: store, Prefix: "servers", Listener: registry, WatchesStore: func() bool { return true }, Log: discardLog}))
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
	standin.Set("servers", "c", readyEntry("10.0.0.1:80"))
	eventually(t, "c is back", func() bool { return listed.Load() == 2 })
	registry.Tick(time.Now().Add(directory.MissingRetention + time.Second))
	if missing.Load() != 0 {
		t.Errorf("%d endpoints are still missing after their grace period", missing.Load())
	}
}

func TestEndpointsGracePeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	s := directory.NewEndpoints(directory.MissingRetention, directory.DefaultDoubtTime)
	s.Set(now, site.Endpoint{ID: "a"})
	s.Set(now, site.Endpoint{ID: "b", Leaving: true})
	s.Remove(now, "a")
	s.Remove(now, "b")
	s.Remove(now, "never seen")
	if m := s.Missing(); len(m) != 1 || m[0].ID != "a" {
		t.Errorf("missing: %v, want only a: an endpoint that was leaving has no grace period", m)
	}
	s.Set(now, site.Endpoint{ID: "a"})
	if len(s.Missing()) != 0 || len(s.Listed()) != 1 {
		t.Errorf("after a registered again: listed %v, missing %v", s.Listed(), s.Missing())
	}
	s.Replace(now, 0, []site.Endpoint{{ID: "c"}})
	if got := s.Listed(); len(got) != 1 || got[0].ID != ident.EndpointID("c") {
		t.Errorf("after a list of only c: listed %v", got)
	}
	if s.Expire(now.Add(directory.MissingRetention)) || !s.Expire(now.Add(directory.MissingRetention+1)) {
		t.Error("a missing endpoint does not expire right after MissingRetention")
	}
}

// peerSource is a source that queries another node's watcher.
type peerSource struct{ w *directory.Watcher }

func (s peerSource) Snapshot(ctx context.Context, _ platformapi.Key) (platformapi.Snapshot, error) {
	r, err := s.w.Changes(ctx, 0, 0)
	return platformapi.Snapshot{Objects: r.Changed, Position: r.Position}, err
}

func (s peerSource) Watch(ctx context.Context, _ platformapi.Key, after uint64, wait time.Duration) (platformapi.WatchResult, error) {
	return s.w.Changes(ctx, after, wait)
}

// TestFollowerMatchesStore checks that a node that watches through a relay has the same
// objects as the relay, through removals and a dropped history, without a call to the store.
func TestFollowerMatchesStore(t *testing.T) {
	standin, store, _ := newStore(t)
	sets := make([]atomic.Pointer[[]site.Endpoint], 2)
	registry := func(i int) *directory.Registry {
		return directory.NewRegistry(platform.DecodeEndpoint, directory.MissingRetention, directory.DefaultDoubtTime, func(_ time.Time, l, _ []site.Endpoint) { sets[i].Store(&l) }, discardLog)
	}
	storeWatcher := directory.NewWatcher(directory.WatcherOptions{Store: store, Relay: store, Prefix: "servers", Listener: registry(0), WatchesStore: func() bool { return true }, Log: discardLog})
	follower := directory.NewWatcher(directory.WatcherOptions{Store: store, Relay: peerSource{storeWatcher}, Prefix: "servers", Listener: registry(1), WatchesStore: func() bool { return false }, Log: discardLog})
	standin.Set("servers", "a", readyEntry("10.0.0.1:80"))
	startWatcher(t, storeWatcher)
	startWatcher(t, follower)
	has := func(i, n int) func() bool {
		return func() bool { l := sets[i].Load(); return l != nil && len(*l) == n }
	}
	eventually(t, "one endpoint at the follower", has(1, 1))
	for _, name := range []string{"b", "c", "d"} {
		standin.Set("servers", name, readyEntry("10.0.0.2:80"))
	}
	standin.Remove("servers", "a")
	eventually(t, "three endpoints at the follower", has(1, 3))
	standin.SetFaults(platformtest.Faults{Down: true})
	standin.Set("servers", "e", readyEntry("10.0.0.3:80"))
	standin.Compact()
	standin.SetFaults(platformtest.Faults{})
	eventually(t, "four endpoints at the relay", has(0, 4))
	eventually(t, "four endpoints at the follower", has(1, 4))
	if _, err := follower.Changes(context.Background(), 0, 0); err == nil {
		t.Error("a node that does not watch the store serves as a relay")
	}
}

// hangingRelay is a relay whose machine has disappeared: its first watch stays open without a
// response. Everything else goes to the store.
type hangingRelay struct {
	directory.Source
	hangs atomic.Bool
}

func (r *hangingRelay) Watch(ctx context.Context, prefix platformapi.Key, after uint64, wait time.Duration) (platformapi.WatchResult, error) {
	if r.hangs.Load() {
		<-ctx.Done()
		return platformapi.WatchResult{}, ctx.Err()
	}
	return r.Source.Watch(ctx, prefix, after, wait)
}

// TestRelayDisappears: a node waits at a relay whose machine disappears, so that its
// connection stays open without a response. It must turn to another one as soon as the relay
// is no longer heard of, and notice a removal, which the versions of the other nodes don't show.
func TestRelayDisappears(t *testing.T) {
	standin, store, _ := newStore(t)
	var listed atomic.Int32
	registry := directory.NewRegistry(platform.DecodeEndpoint, directory.MissingRetention, directory.DefaultDoubtTime, func(_ time.Time, l, _ []site.Endpoint) { listed.Store(int32(len(l))) }, discardLog)
	relay := &hangingRelay{Source: store}
	relay.hangs.Store(true)
	w := directory.NewWatcher(directory.WatcherOptions{
		Store: store, Relay: relay, RelayLost: func() bool { return !relay.hangs.Load() }, Prefix: "servers", Listener: registry,
		WatchesStore: func() bool { return false }, Log: discardLog,
	})
	standin.Set("servers", "a", readyEntry("10.0.0.1:80"))
	startWatcher(t, w)
	eventually(t, "one endpoint", func() bool { return listed.Load() == 1 })
	standin.Remove("servers", "a")
	relay.hangs.Store(false) // another relay takes its place
	eventually(t, "the removal", func() bool {
		w.Recheck()
		return listed.Load() == 0
	})
	standin.SetFaults(platformtest.Faults{Down: true}) // ends the watch in progress
}
