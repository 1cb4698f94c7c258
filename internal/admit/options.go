package admit

import (
	"cmp"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Limits of a workspace whose configuration states none, over all nodes.
const (
	DefaultRatePerSecond = 50
	DefaultConcurrency   = 64
	DefaultWeight        = 1
)

// MaxOvershoot bounds what all nodes admit together during a partition, as a
// multiple of a limit.
const MaxOvershoot = 2

// ClassOptions are the settings of one class.
type ClassOptions struct {
	// MaxWait is the longest time in a queue; zero leaves it to the deadline.
	MaxWait time.Duration
	// AgeAfter is the wait after which a request may go before higher classes;
	// zero means never.
	AgeAfter time.Duration
	// ServiceTime is assumed until some requests have ended.
	ServiceTime time.Duration
	// WorkspaceShare is the part of a workspace's concurrency that the class may use.
	WorkspaceShare float64
	// CapacityShare is the part of a service's capacity that the class may use.
	CapacityShare float64
	// Headroom is the number of slots left free for higher classes, as a multiple
	// of the square root of their requests in flight. Aged requests may use them.
	Headroom float64
}

// Options are the settings of a Controller. Zero fields take their defaults.
type Options struct {
	// Classes holds the settings by class. Defaults: DefaultClasses.
	Classes [numClasses]ClassOptions
	// AgedShare is the part of a service's capacity for aged requests, one slot at
	// least. Default: 0.2.
	AgedShare float64
	// ReserveShare is the part of a service's capacity that is kept for orders and
	// for workspaces with less than an even share in flight. Default: 0.05.
	ReserveShare float64
	// Capacity of a service until SetCapacity was called for it. Default: 64.
	Capacity int
	// MaxQueued bounds the queue of each service. Default: 1024.
	MaxQueued int
	// BurstTime is the part of a second's rate that may come at once, as a time.
	// Default: 2s.
	BurstTime time.Duration
	// PeakMemory is how long the highest number of live nodes counts against a
	// lower one. Default: 10m.
	PeakMemory time.Duration
	// MinRetryAfter is the shortest time to come back that callers are told.
	// Default: 100ms.
	MinRetryAfter time.Duration
}

// DefaultClasses returns the settings of the classes. Long work may use all but a
// tenth of the slots, so that a quick request finds one free or soon to be.
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
	o.PeakMemory = cmp.Or(o.PeakMemory, 10*time.Minute)
	o.MinRetryAfter = cmp.Or(o.MinRetryAfter, 100*time.Millisecond)
	return o
}
