// Package keepalive configures TCP keepalive probes, so that an unreachable peer or a
// broken network path is detected within a few seconds.
package keepalive

import (
	"net"
	"time"
)

// Keepalive probes of an idle connection. The connection is closed 2.5 s after the last
// packet from the peer, so that a node reconnects within the 3 s that operators expect.
const (
	probeIdleTime = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

// Config returns the keepalive settings.
func Config() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdleTime, Interval: probeInterval, Count: probeCount}
}

// Dialer returns a dialer with keepalive whose attempts to connect fail after timeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: Config()}
}

// ListenConfig returns the settings of a listener whose connections use keepalive.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: Config()}
}
