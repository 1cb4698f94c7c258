package directory_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/directory"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/platform"
)

// usable returns the IDs of the listed endpoints that are not leaving, and of the missing
// ones.
func usable(s *directory.Endpoints) []ident.EndpointID {
	var out []ident.EndpointID
	for _, e := range append(s.Listed(), s.Missing()...) {
		if !e.Leaving {
			out = append(out, e.ID)
		}
	}
	return out
}

// TestDepartedEndpointsOfCopy checks which endpoints are used when the store is restored from
// a copy that lists endpoints that have left since.
func TestDepartedEndpointsOfCopy(t *testing.T) {
	now, born := time.Unix(1000, 0), time.UnixMilli(500_123)
	endpoint := func(id string) site.Endpoint { return site.Endpoint{ID: ident.EndpointID(id), Started: born} }
	copied := []site.Endpoint{endpoint("drained"), endpoint("draining"), endpoint("removed"), endpoint("renewed"), endpoint("stays")}
	s := directory.NewEndpoints(directory.MissingRetention, directory.DefaultDoubtTime)
	s.Replace(now, 1, copied)
	for _, id := range []string{"drained", "draining"} {
		leaving := endpoint(id)
		leaving.Leaving = true
		s.Set(now, leaving)
	}
	for _, id := range []ident.EndpointID{"drained", "removed", "renewed"} {
		s.Remove(now, id)
	}
	now = now.Add(2 * time.Second)
	s.Expire(now)

	s.Replace(now, 2, copied)
	if got := usable(s); !slices.Equal(got, []ident.EndpointID{"stays"}) {
		t.Errorf("usable after the restore: %v", got)
	}
	s.Set(now, endpoint("renewed")) // it lives, and has registered again
	s.Set(now, site.Endpoint{ID: "drained", Started: born.Add(time.Minute)})
	if got := usable(s); !slices.Equal(got, []ident.EndpointID{"drained", "renewed", "stays"}) {
		t.Errorf("usable after new registrations: %v", got)
	}
	s.Replace(now, 2, append(s.Listed(), endpoint("removed")))
	s.Expire(now.Add(directory.DefaultDoubtTime - time.Millisecond))
	if slices.Contains(usable(s), "removed") {
		t.Error("an endpoint in doubt is used")
	}
	s.Expire(now.Add(directory.DefaultDoubtTime + time.Millisecond))
	if !slices.Contains(usable(s), "removed") {
		t.Error("an endpoint whose registration was not removed in time stays unused")
	}
}

// TestReturnedEndpointIsNotDoubted checks that an endpoint whose registration had lapsed, and
// that was listed again in the same era, is used when the store is restored after that.
func TestReturnedEndpointIsNotDoubted(t *testing.T) {
	now := time.Unix(1000, 0)
	s := directory.NewEndpoints(directory.MissingRetention, directory.DefaultDoubtTime)
	list := []site.Endpoint{{ID: "a"}}
	s.Replace(now, 1, list)
	s.Remove(now, "a")
	s.Replace(now, 1, list)
	s.Replace(now, 2, list)
	if got := usable(s); !slices.Equal(got, []ident.EndpointID{"a"}) {
		t.Errorf("usable after the restore: %v", got)
	}
}

// TestDeparturesFromPeers checks that a node that starts after a restore learns from another
// node which of the listed endpoints have left, and that marks of an earlier state of the
// same era have no effect.
func TestDeparturesFromPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	peer := directory.NewEndpoints(directory.MissingRetention, directory.DefaultDoubtTime)
	peer.Replace(now, 1, []site.Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}})
	peer.Set(now, site.Endpoint{ID: "a", Leaving: true})
	peer.Remove(now, "b")
	if d := peer.Departures(now); len(d) != 0 {
		t.Errorf("departures that the store reports are sent: %v", d)
	}
	list := []site.Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	peer.Replace(now, 2, list)
	starting := directory.NewEndpoints(directory.MissingRetention, directory.DefaultDoubtTime)
	starting.Replace(now, 2, list)
	if !starting.RecordDepartures(now, peer.AllDepartures(now)) {
		t.Error("the departures change nothing at a node that lists the endpoints")
	}
	if got := usable(starting); !slices.Equal(got, []ident.EndpointID{"c"}) {
		t.Errorf("usable after the departures of a peer: %v", got)
	}
	if starting.RecordDepartures(now, peer.AllDepartures(now)) {
		t.Error("the same departures change something again")
	}
	starting.RecordDepartures(now, []directory.Departure{{Endpoint: "c", Era: 2}})
	if got := usable(starting); !slices.Equal(got, []ident.EndpointID{"c"}) {
		t.Errorf("usable after a departure of the current era: %v", got)
	}
}

// TestLeavingByResponse checks that an endpoint that states that it leaves gets no new work
// in that incarnation, though its registration says otherwise, and is not a last resort.
func TestLeavingByResponse(t *testing.T) {
	now, born := time.Unix(1000, 0), time.UnixMilli(77)
	s := directory.NewEndpoints(directory.MissingRetention, directory.DefaultDoubtTime)
	s.Set(now, site.Endpoint{ID: "a", Started: born})
	s.Set(now, site.Endpoint{ID: "b", Started: born})
	s.Remove(now, "b")
	marks := []directory.Departure{{Endpoint: "a", Started: born, Leaving: true}, {Endpoint: "b", Started: born, Leaving: true}}
	if !s.RecordDepartures(now, marks) {
		t.Error("the marks change nothing")
	}
	s.Set(now, site.Endpoint{ID: "a", Started: born})
	if got := usable(s); len(got) != 0 {
		t.Errorf("usable: %v", got)
	}
	if d := s.Departures(now); len(d) != 2 {
		t.Errorf("departures for the other nodes: %v", d)
	}
	s.Set(now, site.Endpoint{ID: "a", Started: born.Add(time.Second)})
	if got := usable(s); !slices.Equal(got, []ident.EndpointID{"a"}) {
		t.Errorf("usable in the next incarnation: %v", got)
	}
	s.RecordDepartures(now, marks) // arrive late
	if got := usable(s); !slices.Equal(got, []ident.EndpointID{"a"}) {
		t.Errorf("usable after marks of an earlier incarnation: %v", got)
	}
}

// TestWatchersListRestoredStore checks that a node that watches the store and one that
// watches through it have the objects of the restored store, though its revisions are given
// out again, and that they follow its changes.
func TestWatchersListRestoredStore(t *testing.T) {
	standin, store, _ := newStore(t)
	var mu sync.Mutex
	sets := make([][]site.Endpoint, 2)
	watcher := func(i int, relay directory.Source, watchesStore bool) *directory.Watcher {
		r := directory.NewRegistry(platform.DecodeEndpoint, directory.MissingRetention, time.Millisecond, func(_ time.Time, l, _ []site.Endpoint) {
			mu.Lock()
			defer mu.Unlock()
			sets[i] = l
		}, discardLog)
		return directory.NewWatcher(directory.WatcherOptions{
			Store: store, Relay: relay, Prefix: "servers", Listener: r, WatchesStore: func() bool { return watchesStore }, Era: store.Era, Log: discardLog,
		})
	}
	has := func(ids ...ident.EndpointID) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			for _, list := range sets {
				if !slices.EqualFunc(list, ids, func(e site.Endpoint, id ident.EndpointID) bool { return e.ID == id }) {
					return false
				}
			}
			return true
		}
	}
	first := watcher(0, store, true)
	second := watcher(1, peerSource{first}, false)
	standin.Set("servers", "a", readyEntry("10.0.0.1:80"))
	copied := standin.Copy()
	startWatcher(t, first)
	startWatcher(t, second)
	standin.Set("servers", "b", readyEntry("10.0.0.2:80"))
	standin.Set("servers", "c", readyEntry("10.0.0.3:80"))
	eventually(t, "three endpoints at both", has("a", "b", "c"))
	standin.Restore(copied)
	for _, id := range []string{"d", "e", "f"} { // takes the revisions of b and c, and one more
		standin.Set("servers", id, readyEntry("10.0.0.4:80"))
	}
	stopChecks := make(chan struct{})
	defer close(stopChecks)
	go func() { // as a node does in its ticks
		for {
			select {
			case <-stopChecks:
				return
			case <-time.After(10 * time.Millisecond):
				first.Recheck()
				second.Recheck()
			}
		}
	}()
	eventually(t, "the endpoints of the restored store at both", has("a", "d", "e", "f"))
	standin.Set("servers", "g", readyEntry("10.0.0.5:80"))
	eventually(t, "a later change at both", has("a", "d", "e", "f", "g"))
}

// TestRelayOfEarlierEra checks that a node that has not yet listed a restored store does not
// serve as a relay for one that has.
func TestRelayOfEarlierEra(t *testing.T) {
	standin, store, _ := newStore(t)
	var changes atomic.Int32
	r := directory.NewRegistry(platform.DecodeEndpoint, directory.MissingRetention, time.Second, func(time.Time, []site.Endpoint, []site.Endpoint) { changes.Add(1) }, discardLog)
	standin.Set("servers", "a", readyEntry("10.0.0.1:80"))
	w := directory.NewWatcher(directory.WatcherOptions{Store: store, Relay: store, Prefix: "servers", Listener: r, WatchesStore: func() bool { return true }, Log: discardLog})
	startWatcher(t, w)
	eventually(t, "the endpoint", func() bool { return changes.Load() > 0 })
	now, err := w.Changes(context.Background(), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	const nextEra = 1 << 44
	if _, err := w.Changes(context.Background(), now.Position+nextEra, time.Second); err == nil {
		t.Error("a node an era behind serves as a relay")
	}
}

// silentRelay is a relay that has not heard of a restore: its watches report nothing. Its
// snapshots are those of the store.
type silentRelay struct{ directory.Source }

func (silentRelay) Watch(ctx context.Context, _ platformapi.Key, _ uint64, _ time.Duration) (platformapi.WatchResult, error) {
	<-ctx.Done()
	return platformapi.WatchResult{}, ctx.Err()
}

// TestFollowerOfSilentRelay checks that a node that hears of a restore from another one lists
// the objects again, though the relay that it watches through has not heard of it.
func TestFollowerOfSilentRelay(t *testing.T) {
	standin, store, _ := newStore(t)
	var listed atomic.Int32
	r := directory.NewRegistry(platform.DecodeEndpoint, directory.MissingRetention, time.Millisecond, func(_ time.Time, l, _ []site.Endpoint) { listed.Store(int32(len(l))) }, discardLog)
	w := directory.NewWatcher(directory.WatcherOptions{
		Store: store, Relay: silentRelay{store}, Prefix: "servers", Listener: r, WatchesStore: func() bool { return false }, Era: store.Era, Log: discardLog,
	})
	copied := standin.Copy()
	standin.Set("servers", "a", readyEntry("10.0.0.1:80"))
	startWatcher(t, w)
	eventually(t, "one endpoint", func() bool { return listed.Load() == 1 })
	standin.Restore(copied)
	standin.Set("servers", "b", readyEntry("10.0.0.2:80"))
	standin.Set("servers", "c", readyEntry("10.0.0.3:80"))
	store.ObserveEra(2)
	eventually(t, "the endpoints of the restored store", func() bool {
		w.Recheck()
		return listed.Load() == 2
	})
}
