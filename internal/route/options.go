package route

import (
	"cmp"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// MaxCandidates is the maximum size of a candidate subset. The prefix index stores
// the endpoints that have a block cached as bits of one 64-bit word.
const MaxCandidates = 64

// Options are the settings of a Table. Zero fields are replaced by their defaults.
type Options struct {
	// Node and DataCentre of this process.
	Node       ident.NodeID
	DataCentre ident.DataCentre
	// Candidates limits the subset of endpoints for each service and version.
	// Default and maximum: MaxCandidates.
	Candidates int
	// LocalShare is the fraction of the subset reserved for endpoints of this
	// DataCentre, as far as it has enough. Default: 0.75.
	LocalShare float64
	// RemoteRoundTrip is added to the estimate of endpoints in other data centres.
	// Default: 2ms.
	RemoteRoundTrip time.Duration
	// PrefillPerSec is the prefill speed, in tokens per second, assumed for an
	// endpoint that reports none. Default: 8000.
	PrefillPerSec float64
	// Concurrency is the number of slots (requests served at once) assumed for an
	// endpoint for which none is reported or configured. Default: 16.
	Concurrency int
	// ServiceTime is the initial value of the mean duration of a request, before
	// any has finished. Default: 1s.
	ServiceTime time.Duration
	// Homes is the number of home endpoints, chosen by rendezvous hash, of a prefix
	// that no endpoint is known to have cached; negative means none. Default: 1.
	Homes int
	// HomeBlocks is the number of leading blocks of a prompt from which the homes of
	// its prefix are derived. Default: 16.
	HomeBlocks int
	// MaxLoadFactor limits the load of homes and of endpoints with a cached prefix,
	// as a multiple of the pool's mean load. Default: 3.
	MaxLoadFactor float64
	// HerdCorrelation is the fraction of the other nodes' dispatches assumed to go
	// to the same endpoints as this node's, as all nodes choose by the same load
	// reports. The rest is assumed to be spread evenly. Default: 0.25.
	HerdCorrelation float64
	// PrefixBlocks is the maximum number of blocks in the prefix index of each
	// service and version. Default: 131072.
	PrefixBlocks int
	// PrefixDecay is the generation length of the prefix index. An entry is dropped
	// once unused for between one and two generations. Default: 5m.
	PrefixDecay time.Duration
	// SlowStart is the time over which the share of requests of a new endpoint, or of
	// one whose ejection has ended, rises to normal. Default: 30s.
	SlowStart time.Duration
	// ConsecutiveFaults is the number of faults without a success between them after
	// which an endpoint is ejected. Default: 5.
	ConsecutiveFaults int
	// EjectionTime is the duration of the first ejection. It doubles with each
	// consecutive ejection, up to MaxEjectionTime. Defaults: 10s, 5m.
	EjectionTime    time.Duration
	MaxEjectionTime time.Duration
	// MaxEjected is the maximum fraction of a pool's usable endpoints that may be
	// ejected at once. Default: 0.3.
	MaxEjected float64
	// FaultPenalty is added to the estimate for each recent consecutive fault, so
	// that an endpoint that fails fast does not appear idle. Default: 250ms.
	FaultPenalty time.Duration
	// TieWindow is the difference between two estimates up to which the cheaper
	// endpoint is preferred. Default: 2ms.
	TieWindow time.Duration
	// MarkRetention is how long the leaving marks of hosts and endpoints that are no
	// longer known are kept. Default: 1h.
	MarkRetention time.Duration
	// RetryAfter is the retry delay returned to callers when a service has no usable
	// endpoint. Default: 1s.
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
	o.MaxLoadFactor = cmp.Or(o.MaxLoadFactor, 3)
	o.HerdCorrelation = cmp.Or(o.HerdCorrelation, 0.25)
	o.PrefixBlocks = cmp.Or(o.PrefixBlocks, 1<<17)
	o.PrefixDecay = cmp.Or(o.PrefixDecay, 5*time.Minute)
	o.SlowStart = cmp.Or(o.SlowStart, 30*time.Second)
	o.ConsecutiveFaults = cmp.Or(o.ConsecutiveFaults, 5)
	o.EjectionTime = cmp.Or(o.EjectionTime, 10*time.Second)
	o.MaxEjectionTime = cmp.Or(o.MaxEjectionTime, 5*time.Minute)
	o.MaxEjected = cmp.Or(o.MaxEjected, 0.3)
	o.FaultPenalty = cmp.Or(o.FaultPenalty, 250*time.Millisecond)
	o.TieWindow = cmp.Or(o.TieWindow, 2*time.Millisecond)
	o.MarkRetention = cmp.Or(o.MarkRetention, time.Hour)
	o.RetryAfter = cmp.Or(o.RetryAfter, time.Second)
	return o
}
