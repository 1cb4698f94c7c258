package site

import (
	"reflect"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Settings are what a process is told at its start.
type Settings struct {
	Node       ident.NodeID
	DataCentre ident.DataCentre
	// IP is the address of this host.
	IP string
	// CallersAddress, ReadyAddress and ControlAddress are IP:port of the listeners;
	// empty where the process has none.
	CallersAddress string
	ReadyAddress   string
	ControlAddress string
	// Seeds are control addresses of some hosts, which may be stale.
	Seeds []string
	// PeerPort is the first of the ports that are free for the system's own use.
	PeerPort int
	// StoreAddress is the IP:port of the platform's object store.
	StoreAddress string
	// CloudAddress is the IP:port of the API that takes usage and scaling orders.
	CloudAddress string
	// Usage and Autoscale tell which duties the platform expects.
	Usage, Autoscale bool
	// MemoryBytes is the limit past which the process is killed; zero if unknown.
	MemoryBytes int64
	Bounds      Bounds
}

// Equal tells whether two settings are the same.
func (s Settings) Equal(o Settings) bool {
	seeds := slices.Equal(s.Seeds, o.Seeds)
	s.Seeds, o.Seeds = nil, nil
	return seeds && reflect.DeepEqual(s, o)
}

// Bounds are the promises that the operators of the platform hold the system to.
type Bounds struct {
	// ConfigApply is how soon a configuration must be in force everywhere.
	ConfigApply time.Duration
	// Drain is how soon a leaving endpoint must get no new request.
	Drain time.Duration
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// RetryRatio and RetrySlack bound the attempts beyond the first of each request,
	// of all nodes, in some seconds.
	RetryRatio float64
	RetrySlack float64
	// LimitOvershoot and LimitSlack are what all nodes together may take of a
	// workspace beyond its limit, as a part of it and in tokens.
	LimitOvershoot float64
	LimitSlack     float64
	// UsageWindow is the length of a usage window; a report is due UsageLate after.
	UsageWindow time.Duration
	UsageLate   time.Duration
	// Lease is the time in which two holders of a duty must not alternate.
	Lease time.Duration
	// ExposureShare bounds the part of a service's requests that an unproved version gets.
	ExposureShare float64
}
