package move

import (
	"math"
	"time"
)

// Arm counts the trials of one version in one block, and how many of them show
// the event that is tested for.
type Arm struct {
	Trials uint64 `json:"t"`
	Events uint64 `json:"e"`
}

func (a *Arm) add(b Arm) {
	a.Trials += b.Trials
	a.Events += b.Events
}

// Test compares the rates of an event in two arms, sequentially: it may be looked
// at after every block, and stopped at any time, without a rise in its error rate.
//
// Each block of simultaneous trials gives an e-variable for the hypothesis that
// the new arm's rate is not above the old one's in that block: the likelihood
// under rates pa for the old arm and pb > pa for the new one, over the likelihood
// under the common rate p0 = (na*pa + nb*pb) / (na+nb). Its expectation is at most
// 1 whatever the rate, so that the rate may differ from block to block, as it does
// when trouble strikes both arms alike. The product over blocks is a test
// martingale. The test mixes them over a grid of differences pb - pa, and over the
// times at which a fault may begin: half of the weight starts with the first
// block, the rest in equal parts later, so that a long good record does not hide a
// late fault. By Ville's inequality the mixture exceeds 1/a at any time with a
// probability of at most a.
//
// Sources: R. Turner, A. Ly, P. Grünwald, "Generic E-variables for exact sequential
// k-sample tests that allow for optional stopping", Journal of Statistical
// Planning and Inference 230 (2024), arXiv:2106.02693, for the blocks; J. Shin, A.
// Ramdas, A. Rinaldo, "E-detectors: a nonparametric framework for sequential change
// detection", New England Journal of Statistics in Data Science (2023),
// arXiv:2203.03532, for the start times.
type Test struct {
	differences []float64
	prior       Arm // pseudo-trials of the old arm
	logs        []float64
	unstarted   float64 // weight of the starts to come
	nextStart   time.Time
	old, fresh  Arm       // of the closed blocks
	recent      [2][2]Arm // old and new since the last start, and since the one before
	value       float64   // see logE
}

// Starts of a Test.
const (
	firstStartWeight = 0.5
	laterStarts      = 240
	startEvery       = time.Minute
)

// newTest returns a test for the given differences, each with the same weight.
func newTest(prior Arm, differences []float64) *Test {
	t := &Test{differences: differences, prior: prior, logs: make([]float64, len(differences)), unstarted: 1}
	for i := range t.logs {
		t.logs[i] = math.Inf(-1)
	}
	return t
}

// stratum is a part of the trials, such as those of one route, whose rate may
// differ from the others'. Only trials of one stratum make a block.
type stratum struct {
	old  Arm // of the closed blocks
	open [2]Arm
}

// add takes the trials of a stratum since the last call. A block closes once both
// arms have trials; this hangs on their number and not on their events.
func (t *Test) add(now time.Time, s *stratum, old, fresh Arm) {
	s.open[0].add(old)
	s.open[1].add(fresh)
	if s.open[0].Trials == 0 || s.open[1].Trials == 0 {
		return
	}
	t.start(now)
	t.close(s)
}

// start gives weight to a fault that begins with the next block, once a period.
func (t *Test) start(now time.Time) {
	weight := (1 - firstStartWeight) / laterStarts
	switch {
	case t.nextStart.IsZero():
		weight = firstStartWeight
	case now.Before(t.nextStart) || t.unstarted < weight:
		return
	}
	t.nextStart = now.Add(startEvery)
	t.unstarted -= weight
	for i := range t.logs {
		t.logs[i] = logSum(t.logs[i], math.Log(weight))
	}
	t.recent[1], t.recent[0] = t.recent[0], [2]Arm{}
}

func (t *Test) close(s *stratum) {
	a, b := s.open[0], s.open[1]
	s.open = [2]Arm{}
	// The old arm's rate is estimated from earlier blocks only.
	pa := (float64(s.old.Events) + float64(t.prior.Events)) / float64(s.old.Trials+t.prior.Trials)
	na, nb := float64(a.Trials), float64(b.Trials)
	for i, d := range t.differences {
		pb := min(pa+d, maxRate)
		low := min(pa, pb-d/2)
		p0 := (na*low + nb*pb) / (na + nb)
		t.logs[i] += logLikelihood(a, low) + logLikelihood(b, pb) - logLikelihood(a, p0) - logLikelihood(b, p0)
	}
	s.old.add(a)
	t.old.add(a)
	t.fresh.add(b)
	t.recent[0][0].add(a)
	t.recent[0][1].add(b)
	t.value = t.mixture()
}

// maxRate keeps the alternative's rate below one.
const maxRate = 0.99

func logLikelihood(a Arm, p float64) float64 {
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

// logE returns the logarithm of the e-value.
func (t *Test) logE() float64 { return t.value }

func (t *Test) mixture() float64 {
	sum := math.Inf(-1)
	for _, l := range t.logs {
		sum = logSum(sum, l)
	}
	return logSum(sum-math.Log(float64(len(t.logs))), math.Log(max(t.unstarted, math.SmallestNonzeroFloat64)))
}

// lately returns both arms of the last one to two start periods.
func (t *Test) lately() (old, fresh Arm) {
	old, fresh = t.recent[0][0], t.recent[0][1]
	old.add(t.recent[1][0])
	fresh.add(t.recent[1][1])
	return old, fresh
}
