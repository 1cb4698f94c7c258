package node

import (
	"context"
	"log/slog"

	"github.com/jujubeshed/jujubeshed/internal/kernel"
)

// Node is the process of an entry host.
type Node struct {
	opts     Options
	log      *slog.Logger
	registry *kernel.Registry
}

// New wires a node. The options must have passed Check.
func New(opts Options, log *slog.Logger) (*Node, error) {
	if opts.Advertise == "" {
		opts.Advertise = opts.Peers
	}
	n := &Node{opts: opts, log: log, registry: kernel.New(log)}
	w := &wiring{opts: &n.opts, log: log, registry: n.registry}
	return n, w.run()
}

// Start starts all services of the node.
func (n *Node) Start(ctx context.Context) error {
	return n.registry.Start(ctx)
}

// Stop drains the node, then stops it. Accepted work ends or moves to other nodes.
func (n *Node) Stop(ctx context.Context) error {
	if err := n.registry.Drain(ctx); err != nil {
		n.log.Error("node: Drain failed.", "error", err)
	}
	return n.registry.Stop(context.WithoutCancel(ctx))
}

// Kill stops the node without a drain, as a crash would.
func (n *Node) Kill(ctx context.Context) error {
	return n.registry.Stop(ctx)
}
