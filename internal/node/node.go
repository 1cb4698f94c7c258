package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/kernel"
)

// Node is the process of an entry host.
type Node struct {
	opts     Options
	log      *slog.Logger
	registry *kernel.Registry
	reclaim  *reclaimTracker
}

// New creates a node and its services. The options must have passed Check.
func New(opts Options, log *slog.Logger) (*Node, error) {
	if opts.Advertise == "" {
		opts.Advertise = opts.Peers
	}
	n := &Node{opts: opts, log: log, registry: kernel.New(log), reclaim: newReclaimTracker(opts.Host)}
	w := &wiring{opts: &n.opts, log: log, registry: n.registry, reclaim: n.reclaim}
	return n, w.build()
}

// Start starts all services of the node.
func (n *Node) Start(ctx context.Context) error {
	return n.registry.Start(ctx)
}

// Reclaimed returns a channel that receives the deadline when the platform announces
// the reclaim of the node's host. A Stop called then shortens the drain to end before
// the deadline.
func (n *Node) Reclaimed() <-chan time.Time {
	return n.reclaim.announced
}

// Stop drains the node, then stops it. Running requests finish or are handed over to
// other nodes.
func (n *Node) Stop(ctx context.Context) error {
	if err := n.registry.Drain(ctx); err != nil {
		n.log.Error("node: Drain failed.", "error", err)
	}
	return n.registry.Stop(context.WithoutCancel(ctx))
}

// Kill stops the node without draining it, to simulate a crash.
func (n *Node) Kill(ctx context.Context) error {
	return n.registry.Stop(ctx)
}
