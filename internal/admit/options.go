package admit

import (
	"cmp"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Default limits of a workspace, over all nodes.
const (
	DefaultRatePerSecond = 50
	DefaultConcurrency   = 64
	DefaultWeight        = 1
)

// MaxOvershoot is the upper limit of what all nodes together admit during a network
// partition, as a multiple of the configured limit.
const MaxOvershoot = 2

// ClassOptions are the settings of one class.
type ClassOptions struct {
	// MaxWait is the maximum time in a queue; zero means that only the deadline
	// limits it.
	MaxWait time.Duration
	// AgeAfter is the wait after which a request may start ahead of higher classes;
	// zero means never.
	AgeAfter time.Duration
	// ServiceTime is the initial estimate of the mean service time.
	ServiceTime time.Duration
	// WorkspaceShare is the fraction of a workspace's concurrency that the class may use.
	WorkspaceShare float64
	// CapacityShare is the fraction of a service's capacity that the class may use.
	CapacityShare float64
	// Headroom is the number of slots left free for higher classes, as a multiple
	// of the square root of their requests in flight. Aged requests may use them.
	Headroom float64
}

// Options are the settings of a Controller. Zero fields get their defaults.
type Options struct {
	// Classes are the settings by class. Defaults: DefaultClasses.
	Classes [numClasses]ClassOptions
	// AgedShare is the fraction of a service's capacity that aged requests of one
	// class may use, at least one slot. Default: 0.2.
	AgedShare float64
	// ReserveShare is the fraction of a service's capacity that is reserved for
	// orders and for workspaces that use less than an even share of the slots.
	// Default: 0.05.
	ReserveShare float64
	// Capacity of a service, in slots, until SetCapacity is called for it. Default: 64.
	Capacity int
	// MaxQueued is the maximum queue length of each service. Default: 1024.
	MaxQueued int
	// BurstTime sets the size of bursts: a workspace may send the requests that its
	// rate allows in this time at once. Default: 2s.
	BurstTime time.Duration
	// PeakRetention is how long the highest number of live nodes limits the share of a
	// node that sees fewer. Default: 10m.
	PeakRetention time.Duration
	// MinRetryAfter is the minimum retry delay in refusals. Default: 100ms.
	MinRetryAfter time.Duration
}

// DefaultClasses returns the default settings of the classes. Requests of class long
// may use nine tenths of the slots, so that a quick request finds a free one at once
// or soon.
func DefaultClasses() [numClasses]ClassOptions {
	return [numClasses]ClassOptions{
		ident.ClassOrder: {
			MaxWait: 5 * time.Second, ServiceTime: 200 * time.Millisecond, WorkspaceShare: 1, CapacityShare: 1,
		},
		ident.ClassQuick: {
			MaxWait: 300 * time.Millisecond, ServiceTime: 2 * time.Second, WorkspaceShare: 1, CapacityShare: 1,
		},
		ident.ClassLookup: {
			MaxWait: time.Second, AgeAfter: 500 * time.Millisecond, ServiceTime: 50 * time.Millisecond,
			WorkspaceShare: 1, CapacityShare: 1,
		},
		ident.ClassLong: {
			AgeAfter: 10 * time.Second, ServiceTime: 10 * time.Second, WorkspaceShare: 0.75, CapacityShare: 0.9,
			Headroom: 1,
		},
	}
}

func (o Options) withDefaults() Options {
	for c, def := range DefaultClasses() {
		if o.Classes[c] == (ClassOptions{}) {
			o.Classes[c] = def
		}
	}
	o.AgedShare = cmp.Or(o.AgedShare, 0.2)
	o.ReserveShare = cmp.Or(o.ReserveShare, 0.05)
	o.Capacity = cmp.Or(o.Capacity, 64)
	o.MaxQueued = cmp.Or(o.MaxQueued, 1024)
	o.BurstTime = cmp.Or(o.BurstTime, 2*time.Second)
	o.PeakRetention = cmp.Or(o.PeakRetention, 10*time.Minute)
	o.MinRetryAfter = cmp.Or(o.MinRetryAfter, 100*time.Millisecond)
	return o
}
