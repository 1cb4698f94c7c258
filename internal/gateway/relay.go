package gateway

import (
	"context"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/directory"
	"github.com/jujubeshed/jujubeshed/internal/platform"
)

// relay has the changes of the store's objects from the nodes that follow it. Where
// none of them answers it asks the store.
type relay struct {
	node *Node
	name string // of the order in which nodes follow the store
}

var _ directory.Source = (*relay)(nil)

// Snapshot implements directory.Source.
func (r *relay) Snapshot(ctx context.Context, prefix platform.Key) (platform.Snapshot, error) {
	for _, address := range r.node.followers(r.name) {
		c, err := r.node.sharing.ChangesFrom(ctx, address, prefix, 0, 0)
		if err == nil && c.Position > 0 {
			return platform.Snapshot{Objects: c.Changed, Position: c.Position}, nil
		}
		r.node.log.Debug("directory: Peer gives no list.", "kind", string(prefix), "peer", address, "error", err)
	}
	return r.node.platform.Store.Snapshot(ctx, prefix)
}

// Watch implements directory.Source.
func (r *relay) Watch(ctx context.Context, prefix platform.Key, after uint64, wait time.Duration) (platform.WatchResult, error) {
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
