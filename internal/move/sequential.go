package move

import (
	"math"
	"time"
)

// ArmCount counts trials of one version, and those among them that had the event under
// test.
type ArmCount struct {
	Trials uint64 `json:"t"`
	Events uint64 `json:"e"`
}

func (a *ArmCount) add(b ArmCount) {
	a.Trials += b.Trials
	a.Events += b.Events
}

// Test compares the rates of an event in two arms, sequentially: its result may
// be used after every block, and the test may be stopped at any time, without an
// increase of its error rate.
//
// Each block of simultaneous trials gives an e-variable for the hypothesis that
// the new arm's rate is not above the old one's in that block: the likelihood
// under rates pa for the old arm and pb > pa for the new one, over the likelihood
// under the common rate p0 = (na*pa + nb*pb) / (na+nb). Its expectation is at most
// 1 whatever the rate, so that the rate may differ from block to block, as it does
// when a fault affects both arms alike. The product over blocks is a test
// martingale. The test mixes them over a grid of differences pb - pa, and over the
// times at which a fault may start: half of the weight is given to the first block,
// the rest to later start times in equal fractions, so that a long time without
// faults does not hide a late fault. By Ville's inequality the mixture exceeds 1/a
// at any time with a probability of at most a.
//
// Sources: R. Turner, A. Ly, P. Grünwald, "Generic E-variables for exact sequential
// k-sample tests that allow for optional stopping", Journal of Statistical
// Planning and Inference 230 (2024), arXiv:2106.02693, for the blocks; J. Shin, A.
// Ramdas, A. Rinaldo, "E-detectors: a nonparametric framework for sequential change
// detection", New England Journal of Statistics in Data Science (2023),
// arXiv:2203.03532, for the start times.
type Test struct {
	differences     []float64 // of the rates of both arms under the alternatives
	prior           ArmCount  // pseudo-trials of the old arm
	logEValues      []float64 // by difference, summed over the start times
	unstartedWeight float64   // weight of the start times to come
	nextStart       time.Time
	oldArm, newArm  ArmCount       // of the closed blocks
	recent          [2][2]ArmCount // old and new arm since the last start time, and between the last two
	logMixture      float64        // see logE
}

// Start times of a Test: the weight of the first, the number of the later ones, and
// the time between two.
const (
	firstStartWeight = 0.5
	laterStarts      = 240
	startInterval    = time.Minute
)

// newTest returns a test for the given differences, which have equal weights.
func newTest(prior ArmCount, differences []float64) *Test {
	t := &Test{differences: differences, prior: prior, logEValues: make([]float64, len(differences)), unstartedWeight: 1}
	for i := range t.logEValues {
		t.logEValues[i] = math.Inf(-1)
	}
	return t
}

// stratum is a subset of the trials, such as those of one route, whose rate may
// differ from that of others. A block contains trials of one stratum only.
type stratum struct {
	oldClosed ArmCount // of the closed blocks
	open      [2]ArmCount
}

// add adds the trials of a stratum since the last call. A block is closed once both
// arms have trials; whether it is depends on the number of trials only, not on
// events.
func (t *Test) add(now time.Time, s *stratum, oldArm, newArm ArmCount) {
	s.open[0].add(oldArm)
	s.open[1].add(newArm)
	if s.open[0].Trials == 0 || s.open[1].Trials == 0 {
		return
	}
	t.addStart(now)
	t.closeBlock(s)
}

// addStart adds a start time of a fault at the next block, at most one per
// startInterval.
func (t *Test) addStart(now time.Time) {
	weight := (1 - firstStartWeight) / laterStarts
	switch {
	case t.nextStart.IsZero():
		weight = firstStartWeight
	case now.Before(t.nextStart) || t.unstartedWeight < weight:
		return
	}
	t.nextStart = now.Add(startInterval)
	t.unstartedWeight -= weight
	for i := range t.logEValues {
		t.logEValues[i] = logSum(t.logEValues[i], math.Log(weight))
	}
	t.recent[1], t.recent[0] = t.recent[0], [2]ArmCount{}
}

func (t *Test) closeBlock(s *stratum) {
	a, b := s.open[0], s.open[1]
	s.open = [2]ArmCount{}
	// The rate of the old arm is estimated from earlier blocks only, as the e-variable
	// requires.
	pa := (float64(s.oldClosed.Events) + float64(t.prior.Events)) / float64(s.oldClosed.Trials+t.prior.Trials)
	na, nb := float64(a.Trials), float64(b.Trials)
	for i, d := range t.differences {
		pb := min(pa+d, maxRate)
		low := min(pa, pb-d/2)
		p0 := (na*low + nb*pb) / (na + nb)
		t.logEValues[i] += logLikelihood(a, low) + logLikelihood(b, pb) - logLikelihood(a, p0) - logLikelihood(b, p0)
	}
	s.oldClosed.add(a)
	t.oldArm.add(a)
	t.newArm.add(b)
	t.recent[0][0].add(a)
	t.recent[0][1].add(b)
	t.logMixture = t.mixture()
}

// maxRate limits the rate of the new arm under the alternative, which must be less
// than one.
const maxRate = 0.99

func logLikelihood(a ArmCount, p float64) float64 {
	return float64(a.Events)*math.Log(p) + float64(a.Trials-a.Events)*math.Log1p(-p)
}

// logSum returns log(exp(a) + exp(b)).
func logSum(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(b, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}

// logE returns the natural logarithm of the e-value.
func (t *Test) logE() float64 { return t.logMixture }

func (t *Test) mixture() float64 {
	sum := math.Inf(-1)
	for _, l := range t.logEValues {
		sum = logSum(sum, l)
	}
	return logSum(sum-math.Log(float64(len(t.logEValues))), math.Log(max(t.unstartedWeight, math.SmallestNonzeroFloat64)))
}

// recentArms returns both arms over the last one to two start intervals.
func (t *Test) recentArms() (oldArm, newArm ArmCount) {
	oldArm, newArm = t.recent[0][0], t.recent[0][1]
	oldArm.add(t.recent[1][0])
	newArm.add(t.recent[1][1])
	return oldArm, newArm
}
