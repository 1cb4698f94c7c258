package gateway

import "github.com/jujubeshed/jujubeshed/internal/callerconn"

const (
	// reservedFiles is the number of descriptors that the platform reserves for files.
	reservedFiles = 200
	// callerConnectionsShare is the share of the other descriptors that callers may keep open. The
	// rest is for connections to endpoints, other nodes and the platform.
	callerConnectionsShare = 0.75
)

// callerLimits returns the limits of callers' connections by the settings and the configuration
// in force.
func (n *Node) callerLimits() callerconn.Limits {
	l := callerconn.Limits{Connections: int(callerConnectionsShare * float64(max(n.settings.MaxFiles-reservedFiles, 0)))}
	if cfg := n.currentConfig.Config(); cfg != nil {
		l.Idle = cfg.Limits.IdleTimeout
	}
	return l
}
