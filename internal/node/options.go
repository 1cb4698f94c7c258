// Package node wires the services of one entry host's process.
package node

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/peer/gossip"
	"github.com/jujubeshed/jujubeshed/internal/sharedkey"
)

// Defaults of the options.
const (
	DefaultDrainDelay   = 5 * time.Second
	DefaultDrainTimeout = 20 * time.Second
	DefaultMemoryMB     = 284
)

// Options are the settings of a node. Addresses consist of an IP address and a port.
type Options struct {
	ID         ident.NodeID
	DataCentre ident.DataCentre
	// Host is the platform's name of the node's own host, by which the node recognises
	// reclaim notices for it. Default: none; the node then ignores reclaim notices and
	// is stopped by a signal only.
	Host ident.Host
	// Callers, Operators and Peers are the addresses to listen on.
	Callers   string
	Operators string
	Peers     string
	// Advertise is the address at which other nodes reach Peers. Default: Peers.
	Advertise string
	// Seeds are the peer addresses of other nodes, used to join the fleet.
	Seeds []string
	// Platform is the address of the platform's API.
	Platform string
	// Key is the secret shared by all nodes and the operators.
	Key sharedkey.Key
	// DrainDelay is how long the node accepts requests after its readiness check
	// starts to fail. Default: 5 s.
	DrainDelay time.Duration
	// DrainTimeout is how long running requests may continue before they are handed
	// over to other nodes. Default: 20 s.
	DrainTimeout time.Duration
	// MemoryBytes is the memory that the process may take. Default: 284 MB.
	MemoryBytes int64
}

// SettingError reports an invalid setting.
type SettingError struct {
	Flag    string
	Value   string
	Allowed string
}

// Error returns a message with the flag, its value and what is allowed.
func (e *SettingError) Error() string {
	return fmt.Sprintf("--%s=%q: %s is allowed", e.Flag, e.Value, e.Allowed)
}

// Check returns a *SettingError for the first invalid setting.
func (o *Options) Check() error {
	required := []struct{ flag, value, allowed string }{
		{"node-id", string(o.ID), "a name without spaces, unique in the fleet,"},
		{"data-centre", string(o.DataCentre), "the name of the node's data centre"},
	}
	for _, r := range required {
		if r.value == "" {
			return &SettingError{r.flag, r.value, r.allowed}
		}
	}
	if len(o.Key) < gossip.MinKeyBytes {
		return &SettingError{"key", strings.Repeat("*", len(o.Key)), fmt.Sprintf("a secret of at least %d bytes", gossip.MinKeyBytes)}
	}
	addresses := []struct{ flag, value string }{
		{"callers", o.Callers}, {"operators", o.Operators}, {"peers", o.Peers}, {"platform", o.Platform},
	}
	if o.Advertise != "" {
		addresses = append(addresses, struct{ flag, value string }{"advertise", o.Advertise})
	}
	for _, s := range o.Seeds {
		addresses = append(addresses, struct{ flag, value string }{"join", s})
	}
	for _, a := range addresses {
		if err := checkAddress(a.flag, a.value); err != nil {
			return err
		}
	}
	return o.checkDurations()
}

func (o *Options) checkDurations() error {
	if o.MemoryBytes < 0 {
		return &SettingError{"memory-mb", fmt.Sprint(o.MemoryBytes >> 20), "zero or more"}
	}
	if o.DrainDelay < 0 {
		return &SettingError{"drain-delay", o.DrainDelay.String(), "a duration of zero or more"}
	}
	if o.DrainTimeout < 0 {
		return &SettingError{"drain-timeout", o.DrainTimeout.String(), "a duration of zero or more"}
	}
	return nil
}

func checkAddress(flag, value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil || port == "" || net.ParseIP(host) == nil {
		return &SettingError{flag, value, "an IP address and a port, such as 10.0.0.1:8080,"}
	}
	return nil
}
