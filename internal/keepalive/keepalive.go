// Package keepalive configures the probes of connections, so that a peer that
// vanished, or a path that went silent, is noticed within a few seconds.
package keepalive

import (
	"net"
	"time"
)

// Probes of an idle connection: it is given up 2.5 s after its last sign of life,
// below the 3 s in which the operators expect a node to be in touch again.
const (
	probeAfter = time.Second
	probeEvery = 500 * time.Millisecond
	probeCount = 3
)

// Config returns the probes' settings.
func Config() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeCount}
}

// Dialer returns a dialer that gives up after timeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: Config()}
}

// ListenConfig returns the settings of a listener.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: Config()}
}
