package gateway

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/callerconn"
)

const (
	// reservedFiles is the number of descriptors that the platform reserves for files.
	reservedFiles = 200
	// Shares of the other descriptors that are taken by idle and by all connections of callers, and by
	// those of other nodes. The rest is for connections to endpoints, other nodes and the platform.
	callerConnectionsShare      = 0.75
	callerTotalConnectionsShare = 0.8
	peerConnectionsShare        = 0.15
	// probeConnections is the number of connections for readiness checks, and that for metrics.
	probeConnections = 16
	// probeIdleTimeout is how long these connections, and those of other nodes, may be idle.
	probeIdleTimeout = 2 * time.Minute
	// queueMemoryDivisor divides the memory limit of the process to give the memory that the kernel may
	// hold in each direction for all connections of callers, and for all of other nodes.
	queueMemoryDivisor = 8
)

// usableFiles returns the number of descriptors for connections.
func (n *Node) usableFiles() float64 { return float64(max(n.settings.MaxFiles-reservedFiles, 0)) }

// callerLimits returns the limits of callers' connections by the settings and the configuration
// in force.
func (n *Node) callerLimits() callerconn.Limits {
	l := callerconn.Limits{Connections: int(callerConnectionsShare * n.usableFiles()), Total: int(callerTotalConnectionsShare * n.usableFiles())}
	if cfg := n.currentConfig.Config(); cfg != nil {
		l.Idle = cfg.Limits.IdleTimeout
	}
	return l
}

// peerLimits returns the limits of the connections of other nodes.
func (n *Node) peerLimits() callerconn.Limits {
	return callerconn.Limits{Idle: probeIdleTimeout, Total: int(peerConnectionsShare * n.usableFiles())}
}

// probeLimits returns the limits of the connections for readiness checks or metrics.
func probeLimits() callerconn.Limits {
	return callerconn.Limits{Idle: probeIdleTimeout, Total: probeConnections}
}

// buildConnections builds the limits of the connections at each address.
func (n *Node) buildConnections() {
	tracker := func(name string, limits func() callerconn.Limits) *callerconn.Tracker {
		return callerconn.New(callerconn.Options{Name: name, Limits: limits, Memory: n.platform.Heads}, n.metrics)
	}
	n.callerConns, n.peerConns = tracker("caller", n.callerLimits), tracker("peer", n.peerLimits)
	n.readyConns, n.metricsConns = tracker("ready", probeLimits), tracker("metrics", probeLimits)
}

// listen sets the limit of the kernel's queues on a listener and returns it.
func (n *Node) listen(l *listener) *listener {
	l.queueBytes = callerconn.QueueBytes(n.settings.MemoryBytes/queueMemoryDivisor, n.callerLimits().Total)
	return l
}
