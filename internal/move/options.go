package move

import (
	"cmp"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Options configures the moves of one node.
type Options struct {
	Self ident.NodeID
	// Alpha is the maximum probability that the tests of one move mark a version as
	// bad that is as good as the old one. Default: 0.005.
	Alpha float64
	// Evaluators is the number of nodes that test the evidence; Alpha applies to all
	// of them together. Default: 8.
	Evaluators int
	// InitialShare is the share with which a move starts. Default: 10 thousandths.
	InitialShare Share
	// MaxUnprovedShare limits the share of a version that is not proved yet or is in
	// doubt. Default: 50 thousandths.
	MaxUnprovedShare Share
	// ProofRequests is the number of requests of the new version, shadow copies
	// included, that must be compared before the share may exceed MaxUnprovedShare.
	// Default: 50.
	ProofRequests int
	// StepRequests is the number of requests of the new version that must be compared
	// between two steps, unless the move is behind its schedule. Default: 10.
	StepRequests int
	// DoubtThreshold is the value of Finding.LogEValue from which a version is in
	// doubt: its share is limited to MaxUnprovedShare, and the move is rolled back if
	// the doubt persists at the finish time. Default: 3.
	DoubtThreshold float64
	// Dwell is the minimum time between two steps, limited to 1/40 of the time between
	// the start of a move and its finish time. Default: 20s.
	Dwell time.Duration
	// ShadowPerSecond is the target rate of shadow copies. Default: 0.2.
	ShadowPerSecond float64
	// ReadInterval is the time between two reads of the record by a polling node.
	// Default: 10s.
	ReadInterval time.Duration
}

// WithDefaults returns o with each zero field but Self set to its default.
func (o Options) WithDefaults() Options {
	o.Alpha = cmp.Or(o.Alpha, 0.005)
	o.Evaluators = cmp.Or(o.Evaluators, 8)
	o.InitialShare = cmp.Or(o.InitialShare, 10)
	o.MaxUnprovedShare = cmp.Or(o.MaxUnprovedShare, 50)
	o.ProofRequests = cmp.Or(o.ProofRequests, 50)
	o.StepRequests = cmp.Or(o.StepRequests, 10)
	o.DoubtThreshold = cmp.Or(o.DoubtThreshold, 3)
	o.Dwell = cmp.Or(o.Dwell, 20*time.Second)
	o.ShadowPerSecond = cmp.Or(o.ShadowPerSecond, 0.2)
	o.ReadInterval = cmp.Or(o.ReadInterval, 10*time.Second)
	return o
}
