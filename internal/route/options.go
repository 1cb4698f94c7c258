package route

import (
	"cmp"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// MaxCandidates is the largest candidate subset: prefix holders are kept as bits
// of one word.
const MaxCandidates = 64

// Options are the settings of a Table. Zero fields take their defaults.
type Options struct {
	// Node and DataCentre of this process.
	Node       ident.NodeID
	DataCentre ident.DataCentre
	// Candidates bounds the subset of endpoints for each service and version.
	// Default and maximum: MaxCandidates.
	Candidates int
	// LocalShare is the part of the subset kept for this DataCentre while it has
	// endpoints enough. Default: 0.75.
	LocalShare float64
	// RemoteRoundTrip is added for endpoints in other data centres. Default: 2ms.
	RemoteRoundTrip time.Duration
	// PrefillPerSec is the prefill speed of an endpoint that reports none, in
	// tokens. Default: 8000.
	PrefillPerSec float64
	// Concurrency is the number of slots of an endpoint that reports none. Default: 16.
	Concurrency int
	// ServiceTime is the assumed time of a request until some have finished. Default: 1s.
	ServiceTime time.Duration
	// Homes is the number of rendezvous-hash homes of a prefix that no endpoint is
	// known to hold; negative means none. Default: 1.
	Homes int
	// HomeBlocks is the number of leading blocks that name a prefix's homes. Default: 16.
	HomeBlocks int
	// LoadBound limits the load of homes and holders, as a multiple of the pool's
	// mean load. Default: 3.
	LoadBound float64
	// HerdCorrelation is how far other nodes are assumed to choose as this one
	// does; the rest of their work is spread evenly. Default: 0.25.
	HerdCorrelation float64
	// PrefixBlocks bounds the prefix index of each service and version. Default: 131072.
	PrefixBlocks int
	// PrefixDecay drops a prefix entry that was not used for one to two times this
	// long. Default: 5m.
	PrefixDecay time.Duration
	// SlowStart is the time in which a new endpoint comes up to its full share. Default: 30s.
	SlowStart time.Duration
	// FaultsInRow ejects an endpoint after that many faults without a success. Default: 5.
	FaultsInRow int
	// EjectionTime is the length of the first ejection; it grows with each one in
	// succession up to MaxEjectionTime. Defaults: 10s, 5m.
	EjectionTime    time.Duration
	MaxEjectionTime time.Duration
	// MaxEjected is the largest part of a pool's usable endpoints that may be
	// ejected at once. Default: 0.3.
	MaxEjected float64
	// FaultPenalty is added to the estimate for each recent fault in a row, so that
	// an endpoint that fails fast does not look idle. Default: 250ms.
	FaultPenalty time.Duration
	// TieWindow is the difference of two estimates within which the price decides.
	// Default: 2ms.
	TieWindow time.Duration
	// MarkRetention keeps the leaving marks of hosts that are no longer listed. Default: 1h.
	MarkRetention time.Duration
	// RetryAfter is told to callers where a service has no usable endpoint. Default: 1s.
	RetryAfter time.Duration
}

func (o Options) withDefaults() Options {
	o.Candidates = min(cmp.Or(o.Candidates, MaxCandidates), MaxCandidates)
	o.LocalShare = cmp.Or(o.LocalShare, 0.75)
	o.RemoteRoundTrip = cmp.Or(o.RemoteRoundTrip, 2*time.Millisecond)
	o.PrefillPerSec = cmp.Or(o.PrefillPerSec, 8000)
	o.Concurrency = cmp.Or(o.Concurrency, 16)
	o.ServiceTime = cmp.Or(o.ServiceTime, time.Second)
	o.Homes = cmp.Or(o.Homes, 1)
	o.HomeBlocks = cmp.Or(o.HomeBlocks, 16)
	o.LoadBound = cmp.Or(o.LoadBound, 3)
	o.HerdCorrelation = cmp.Or(o.HerdCorrelation, 0.25)
	o.PrefixBlocks = cmp.Or(o.PrefixBlocks, 1<<17)
	o.PrefixDecay = cmp.Or(o.PrefixDecay, 5*time.Minute)
	o.SlowStart = cmp.Or(o.SlowStart, 30*time.Second)
	o.FaultsInRow = cmp.Or(o.FaultsInRow, 5)
	o.EjectionTime = cmp.Or(o.EjectionTime, 10*time.Second)
	o.MaxEjectionTime = cmp.Or(o.MaxEjectionTime, 5*time.Minute)
	o.MaxEjected = cmp.Or(o.MaxEjected, 0.3)
	o.FaultPenalty = cmp.Or(o.FaultPenalty, 250*time.Millisecond)
	o.TieWindow = cmp.Or(o.TieWindow, 2*time.Millisecond)
	o.MarkRetention = cmp.Or(o.MarkRetention, time.Hour)
	o.RetryAfter = cmp.Or(o.RetryAfter, time.Second)
	return o
}
