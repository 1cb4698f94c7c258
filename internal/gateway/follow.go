package gateway

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/directory"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/rendezvous"
)

// alertNodes is the number of nodes that follow the store for all: one may be cut off.
const alertNodes = 2

// before returns the addresses of the live nodes that come before this one in the
// order that a name gives to those that reach the store.
func (n *Node) before(name string) []string {
	own := rendezvous.Weight(name, string(n.life.Node))
	type ranked struct {
		address string
		weight  uint64
	}
	var list []ranked
	for _, r := range n.sharing.Peers(aliveFor) {
		if w := rendezvous.Weight(name, string(r.Incarnation.Node)); !r.Leaving && !r.StoreUnreachable && w > own {
			list = append(list, ranked{r.Address, w})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]string, 0, len(list))
	for _, r := range list {
		out = append(out, r.address)
	}
	return out
}

// foremost tells whether this node is among the first in the order of a name.
func (n *Node) foremost(name string, count int) bool { return len(n.before(name)) < count }

// followers returns the nodes that follow the store for this one, in an order that
// spreads the others over them.
func (n *Node) followers(name string) []string {
	list := n.before(name)
	list = list[:min(len(list), alertNodes)]
	if rendezvous.Weight("half", string(n.life.Node))%2 == 1 {
		slices.Reverse(list)
	}
	return list
}

// watcher returns a watcher of one kind of object.
func (n *Node) watcher(kind platformapi.Key, l directory.Listener, alertWait time.Duration) *directory.Watcher {
	name := string(kind)
	alert := func() bool { return n.foremost(name, alertNodes) }
	return directory.NewWatcher(directory.WatcherOptions{
		Store: n.platform.Store, Relay: &relay{n, name}, Prefix: kind, Listener: l, WatchesStore: alert, StoreWatchWait: alertWait, Log: n.log,
	})
}

// changes returns changes to a node that follows this one.
func (n *Node) changes(ctx context.Context, kind platformapi.Key, after uint64, wait time.Duration) (platformapi.WatchResult, error) {
	switch kind {
	case n.platform.EndpointKind:
		return n.servers.Changes(ctx, after, wait)
	case kindOf(n.platform.ConfigKey):
		return n.configs.Changes(ctx, after, wait)
	case n.platform.MoveKind:
		return n.moves.Changes(ctx, after, wait)
	default:
		return platformapi.WatchResult{}, directory.ErrNotWatching
	}
}

// kindOf returns the kind of an object's key.
func kindOf(key platformapi.Key) platformapi.Key {
	kind, _, _ := strings.Cut(string(key), "/")
	return platformapi.Key(kind)
}

// relay has the changes of the store's objects from the nodes that follow it. Where
// none of them answers it asks the store.
type relay struct {
	node *Node
	name string // of the order in which nodes follow the store
}

var _ directory.Source = (*relay)(nil)

// Snapshot implements directory.Source.
func (r *relay) Snapshot(ctx context.Context, prefix platformapi.Key) (platformapi.Snapshot, error) {
	for _, address := range r.node.followers(r.name) {
		c, err := r.node.sharing.ChangesFrom(ctx, address, prefix, 0, 0)
		if err == nil && c.Position > 0 {
			return platformapi.Snapshot{Objects: c.Changed, Position: c.Position}, nil
		}
		r.node.log.Debug("directory: Peer gives no list.", "kind", string(prefix), "peer", address, "error", err)
	}
	return r.node.platform.Store.Snapshot(ctx, prefix)
}

// Watch implements directory.Source.
func (r *relay) Watch(ctx context.Context, prefix platformapi.Key, after uint64, wait time.Duration) (platformapi.WatchResult, error) {
	for _, address := range r.node.followers(r.name) {
		c, err := r.node.sharing.ChangesFrom(ctx, address, prefix, after, wait)
		if err == nil || ctx.Err() != nil {
			return c, err
		}
		r.node.log.Debug("directory: Peer gives no changes.", "kind", string(prefix), "peer", address, "error", err)
	}
	return r.node.platform.Store.Watch(ctx, prefix, after, alertWaitAlone)
}

// alertWaitAlone is the wait at the store of a node that finds nobody to follow.
const alertWaitAlone = 2 * time.Second

// hintPatience is how long the changes that another node has seen may take on their
// way through the relay before this node asks the store itself.
const hintPatience = 500 * time.Millisecond

// hint asks the store where other nodes have been ahead of this one for a while.
func (n *Node) hint(now time.Time) {
	n.rows.Lock()
	defer n.rows.Unlock()
	if n.hinted <= n.servers.LastVersion() {
		n.behind = time.Time{}
		return
	}
	if n.behind.IsZero() {
		n.behind = now
	}
	if now.Sub(n.behind) >= hintPatience {
		n.servers.NotifyVersion(n.hinted)
		n.behind = now
	}
}
