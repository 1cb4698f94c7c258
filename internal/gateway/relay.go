package gateway

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/directory"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/quota"
	"github.com/jujubeshed/jujubeshed/internal/rendezvous"
	"github.com/jujubeshed/jujubeshed/internal/sharing"
)

// storeWatcherCount is the number of nodes that watch the store and relay its changes to
// the others. There are two, as one may lose its connection.
const storeWatcherCount = 2

// higherRanked returns the addresses of the nodes that rank above this one for a name, by
// rendezvous hashing and highest first, and were heard of at most age ago. Nodes that are
// leaving or can't reach the store are left out.
func (n *Node) higherRanked(name string, age time.Duration) []string {
	type ranked struct {
		address string
		weight  uint64
	}
	var list []ranked
	n.forEachHigherRanked(name, age, func(peer *sharing.NodeState, weight uint64) bool {
		list = append(list, ranked{peer.Address, weight})
		return true
	})
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]string, 0, len(list))
	for _, r := range list {
		out = append(out, r.address)
	}
	return out
}

// isAmongFirst reports whether fewer than count nodes, heard of at most age ago, rank above
// this one for a name.
func (n *Node) isAmongFirst(name string, count int, age time.Duration) bool {
	higher := 0
	n.forEachHigherRanked(name, age, func(*sharing.NodeState, uint64) bool {
		higher++
		return higher < count
	})
	return higher < count
}

// forEachHigherRanked calls f with the nodes that higherRanked is about and their weights, in no
// particular order, until f returns false.
func (n *Node) forEachHigherRanked(name string, age time.Duration, f func(peer *sharing.NodeState, weight uint64) bool) {
	own := n.weights.of(name, n.self.Node)
	for _, peer := range n.sharing.Peers(age) {
		if peer.Leaving || peer.StoreUnreachable {
			continue
		}
		if w := n.weights.of(name, peer.Incarnation.Node); w > own && !f(peer, w) {
			return
		}
	}
}

// weightCache stores weights of nodes by rendezvous hashing, which are needed many times a second.
type weightCache struct {
	mu      sync.Mutex
	weights map[weightKey]uint64
}

type weightKey struct {
	name string
	node ident.NodeID
}

// maxCachedWeights bounds the cache: nodes come and go while a node runs.
const maxCachedWeights = 1 << 13

func (c *weightCache) of(name string, node ident.NodeID) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := weightKey{name, node}
	if w, ok := c.weights[key]; ok {
		return w
	}
	if c.weights == nil || len(c.weights) >= maxCachedWeights {
		c.weights = make(map[weightKey]uint64)
	}
	w := rendezvous.Weight(name, string(node))
	c.weights[key] = w
	return w
}

// relayTimeout is the age of a node's state from which the node does not serve as a relay. It
// is shorter than liveTimeout: a machine that disappears leaves the watches at it without a
// response, while endpoints that leave must be noticed within two seconds.
func (n *Node) relayTimeout() time.Duration {
	return min(max(quota.DefaultSilenceTimeout, silenceIntervals*n.sharing.Interval()), liveTimeout)
}

// relayNodes returns the addresses of the nodes that watch the store for this one. Half of
// the nodes get them in reverse order, which spreads the load over them.
func (n *Node) relayNodes(name string) []string {
	list := n.higherRanked(name, n.relayTimeout())
	list = list[:min(len(list), storeWatcherCount)]
	if rendezvous.Weight("half", string(n.self.Node))%2 == 1 {
		slices.Reverse(list)
	}
	return list
}

// newWatcher returns a watcher of one kind of object; wait is that of a watch on the store.
func (n *Node) newWatcher(kind platformapi.Key, l directory.Listener, wait time.Duration) *directory.Watcher {
	name := string(kind)
	watchesStore := func() bool { return n.isAmongFirst(name, storeWatcherCount, n.relayTimeout()) }
	relayed := &changeRelay{node: n, ranking: name}
	return directory.NewWatcher(directory.WatcherOptions{
		Store: n.platform.Store, Relay: relayed, RelayLost: relayed.lost, Prefix: kind, Listener: l,
		WatchesStore: watchesStore, Era: n.platform.Store.Era, StoreWatchWait: wait, Log: n.log,
	})
}

// changes returns the changes of one kind of object to a node that watches through this one.
func (n *Node) changes(ctx context.Context, kind platformapi.Key, after uint64, wait time.Duration) (platformapi.WatchResult, error) {
	n.platform.Store.ObserveEra(platformapi.Version(after).Era())
	switch kind {
	case n.platform.EndpointKind:
		return n.endpointWatcher.Changes(ctx, after, wait)
	case kindOf(n.platform.ConfigKey):
		return n.configWatcher.Changes(ctx, after, wait)
	case n.platform.MoveKind:
		return n.moveWatcher.Changes(ctx, after, wait)
	case quarantineKind:
		return n.guardWatcher.Changes(ctx, after, wait)
	case n.platform.EvacuationKind:
		if n.evacuationWatcher != nil {
			return n.evacuationWatcher.Changes(ctx, after, wait)
		}
		return platformapi.WatchResult{}, directory.ErrNotWatching
	default:
		return platformapi.WatchResult{}, directory.ErrNotWatching
	}
}

// kindOf returns the kind in an object's key, the part before the first slash.
func kindOf(key platformapi.Key) platformapi.Key {
	kind, _, _ := strings.Cut(string(key), "/")
	return platformapi.Key(kind)
}

// changeRelay reads the store's objects and their changes from the nodes that watch the store. If
// none of them responds, it reads from the store.
type changeRelay struct {
	node    *Node
	ranking string                 // name by which the nodes that watch the store are ranked
	waitsAt atomic.Pointer[string] // address of the node at which a watch waits; nil for none
}

// lost reports whether the node at which a watch waits is no longer heard of.
func (r *changeRelay) lost() bool {
	address := r.waitsAt.Load()
	return address != nil && !r.node.sharing.HeardOf(*address, r.node.relayTimeout())
}

var _ directory.Source = (*changeRelay)(nil)

// Snapshot implements directory.Source.
func (r *changeRelay) Snapshot(ctx context.Context, prefix platformapi.Key) (platformapi.Snapshot, error) {
	for _, address := range r.node.relayNodes(r.ranking) {
		c, err := r.node.sharing.ChangesFrom(ctx, address, prefix, 0, 0)
		if err == nil && c.Position > 0 && platformapi.Version(c.Position).Era() >= r.node.platform.Store.Era() {
			return platformapi.Snapshot{Objects: c.Changed, Position: c.Position}, nil
		}
		r.node.log.Debug("directory: Peer did not return a snapshot.", "kind", string(prefix), "peer", address, "error", err)
	}
	return r.node.platform.Store.Snapshot(ctx, prefix)
}

// Watch implements directory.Source.
func (r *changeRelay) Watch(ctx context.Context, prefix platformapi.Key, after uint64, wait time.Duration) (platformapi.WatchResult, error) {
	for _, address := range r.node.relayNodes(r.ranking) {
		r.waitsAt.Store(&address)
		c, err := r.node.sharing.ChangesFrom(ctx, address, prefix, after, wait)
		r.waitsAt.Store(nil)
		if err == nil {
			r.node.platform.Store.ObserveEra(platformapi.Version(c.Position).Era())
		}
		if err == nil || ctx.Err() != nil {
			return c, err
		}
		r.node.log.Debug("directory: Peer did not return changes.", "kind", string(prefix), "peer", address, "error", err)
	}
	return r.node.platform.Store.Watch(ctx, prefix, after, directWatchWait)
}

// directWatchWait is the wait of a watch on the store by a node whose relay nodes don't
// respond.
const directWatchWait = 2 * time.Second

// relayGrace is how long changes that another node has received may take through the relay
// before this node reads from the store.
const relayGrace = 500 * time.Millisecond

// catchUpWithPeers reads the endpoints from the store if another node has had a later
// version of them for relayGrace.
func (n *Node) catchUpWithPeers(now time.Time) {
	n.peersMu.Lock()
	defer n.peersMu.Unlock()
	if n.peerVersion <= n.endpointWatcher.LastVersion() {
		n.behindSince = time.Time{}
		return
	}
	if n.behindSince.IsZero() {
		n.behindSince = now
	}
	if now.Sub(n.behindSince) >= relayGrace {
		n.endpointWatcher.NotifyVersion(n.peerVersion)
		n.behindSince = now
	}
}
