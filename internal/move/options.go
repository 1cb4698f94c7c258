package move

import (
	"cmp"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Options are the settings of moves.
type Options struct {
	Self ident.NodeID
	// Alpha is the probability with which the tests of one move may brake a version
	// that is as good as the old one. Default: 0.005.
	Alpha float64
	// Evaluators is the number of nodes that test the evidence; Alpha covers them
	// all. Default: 8.
	Evaluators int
	// FirstShare of the requests begins a move. Default: 10 thousandths.
	FirstShare Share
	// SmallShare bounds the share of a version not proved yet. Default: 50 thousandths.
	SmallShare Share
	// ProofRequests of the new version must have been compared, shadow copies
	// included, before the share passes SmallShare. Default: 50.
	ProofRequests int
	// StepRequests of the new version must have been compared before each further
	// step, unless the move is late. Default: 10.
	StepRequests int
	// DoubtOdds are the odds from which a version is doubtful: its share falls to
	// SmallShare, and at the time to finish it is undone. Default: 3.
	DoubtOdds float64
	// Dwell is the least time between two steps. Default: 20s.
	Dwell time.Duration
	// ShadowPerSecond is the rate of shadow copies aimed at. Default: 0.2.
	ShadowPerSecond float64
	// ReadInterval is the time between two reads of the record by a node that polls.
	// Default: 10s.
	ReadInterval time.Duration
}

// WithDefaults returns the options with defaults filled in.
func (o Options) WithDefaults() Options {
	o.Alpha = cmp.Or(o.Alpha, 0.005)
	o.Evaluators = cmp.Or(o.Evaluators, 8)
	o.FirstShare = cmp.Or(o.FirstShare, 10)
	o.SmallShare = cmp.Or(o.SmallShare, 50)
	o.ProofRequests = cmp.Or(o.ProofRequests, 50)
	o.StepRequests = cmp.Or(o.StepRequests, 10)
	o.DoubtOdds = cmp.Or(o.DoubtOdds, 3)
	o.Dwell = cmp.Or(o.Dwell, 20*time.Second)
	o.ShadowPerSecond = cmp.Or(o.ShadowPerSecond, 0.2)
	o.ReadInterval = cmp.Or(o.ReadInterval, 10*time.Second)
	return o
}
