package site

import (
	"reflect"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Settings are the settings that a process receives at its start.
type Settings struct {
	Node       ident.NodeID
	DataCentre ident.DataCentre
	// Regions contains the regions of all data centres.
	Regions Regions
	// IP is the IP address of this host.
	IP string
	// CallersAddress, ReadyAddress and ControlAddress are the IP:port of the listeners
	// for callers, readiness checks and other nodes; empty if the process has none.
	CallersAddress string
	ReadyAddress   string
	ControlAddress string
	// Seeds are the control addresses of some hosts. They may be out of date.
	Seeds []string
	// PeerPort is the first of the ports available for the system's own traffic.
	PeerPort int
	// StoreAddress is the IP:port of the platform's object store.
	StoreAddress string
	// CloudAddress is the IP:port of the API that accepts usage reports and scaling orders.
	CloudAddress string
	// Usage and Autoscale report whether the platform expects usage reports and scaling
	// orders.
	Usage, Autoscale bool
	// Heartbeat is the interval at which endpoints renew their registrations; zero if
	// unknown.
	Heartbeat time.Duration
	// IgnoreEndpointSpeed turns off that the speeds of endpoints are learned.
	IgnoreEndpointSpeed bool
	// MemoryBytes is the memory limit above which the process is killed; zero if unknown.
	MemoryBytes int64
	// MaxFiles is the number of descriptors that the process may have open; zero if unknown.
	MaxFiles int
	Bounds   Bounds
}

// Equal reports whether two settings are the same.
func (s Settings) Equal(o Settings) bool {
	seeds := slices.Equal(s.Seeds, o.Seeds)
	s.Seeds, o.Seeds = nil, nil
	return seeds && reflect.DeepEqual(s, o)
}

// Bounds are the limits that the operators of the platform require the system to keep.
type Bounds struct {
	// ConfigApply is the maximum time until a new configuration is in force on all nodes.
	ConfigApply time.Duration
	// Drain is the maximum time after which a leaving endpoint must get no new request.
	Drain time.Duration
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// RetryRatio and RetrySlack limit the attempts of all nodes beyond the first of each
	// request, within a window of some seconds: as a fraction of the requests, and a fixed
	// number.
	RetryRatio float64
	RetrySlack float64
	// LimitOvershoot and LimitSlack are how far all nodes together may exceed the limit
	// of a workspace, as a fraction of the limit and in tokens.
	LimitOvershoot float64
	LimitSlack     float64
	// UsageWindow is the length of a usage window. Its report is due UsageLate after the
	// end of the window.
	UsageWindow time.Duration
	UsageLate   time.Duration
	// ColdOvershoot and ColdSlack are how far all nodes together may exceed, in any second, the
	// number of requests that a cold endpoint takes: as a multiple of it, and in requests.
	ColdOvershoot float64
	ColdSlack     float64
	// Evacuation is the time after which nothing may be sent to an evacuated data centre; zero if
	// the operators don't evacuate data centres.
	Evacuation time.Duration
	// Lease is the time within which two nodes must not alternate as holder of a duty.
	Lease time.Duration
	// ExposureShare is the maximum fraction of a service's requests that an unproved
	// version may get.
	ExposureShare float64
}
