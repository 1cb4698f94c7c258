package fleet

import (
	"math"
	"time"
)

// sample is an observed demand.
type sample struct {
	at   time.Time
	rate float64 // requests a second
}

// forecast turns the observed demand into what hosts must carry.
type forecast struct {
	trend  time.Duration // window of the trend
	hold   time.Duration // window of the peak that a scale-down respects
	margin float64
	recent []sample // of the longer window, oldest first
}

// observe adds a sample and forgets the old ones.
func (f *forecast) observe(now time.Time, rate float64) {
	f.recent = append(f.recent, sample{now, rate})
	keep := now.Add(-max(f.trend, f.hold))
	for len(f.recent) > 1 && f.recent[0].at.Before(keep) {
		f.recent = f.recent[1:]
	}
}

// need returns the rate to be ready for once hosts bought now serve. The trend
// counts for at most as much again, as a burst bends it.
func (f *forecast) need(now time.Time, lead time.Duration) float64 {
	if len(f.recent) == 0 {
		return 0
	}
	rate := f.recent[len(f.recent)-1].rate
	growth := min(max(0, f.slope(now))*lead.Seconds(), rate)
	return (rate + growth) * (1 + f.margin)
}

// peak returns the highest demand of the hold window, with margin.
func (f *forecast) peak(now time.Time) float64 {
	high := 0.0
	for _, s := range f.recent {
		if !s.at.Before(now.Add(-f.hold)) {
			high = max(high, s.rate)
		}
	}
	return high * (1 + f.margin)
}

// slope returns the growth of the demand (requests a second, a second) over the
// trend window, by least squares.
func (f *forecast) slope(now time.Time) float64 {
	var n, sx, sy, sxx, sxy float64
	for _, s := range f.recent {
		if s.at.Before(now.Add(-f.trend)) {
			continue
		}
		x := s.at.Sub(now).Seconds()
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+s.rate, sxx+x*x, sxy+x*s.rate
	}
	if d := n*sxx - sx*sx; n >= 3 && d > 0 {
		return (n*sxy - sx*sy) / d
	}
	return 0
}

// shapePrior is how many requests the shape of the settings counts for.
const shapePrior = 100.0

// maxShapeStep bounds the time that one observation stands for.
const maxShapeStep = time.Minute

// shapeMean is the mean request over a window that fades, beginning with the
// shape of the settings.
type shapeMean struct {
	prior    Shape
	window   time.Duration
	requests float64
	prompt   float64 // tokens
	output   float64 // tokens
}

func newShapeMean(prior Shape, window time.Duration) shapeMean {
	return shapeMean{prior: prior, window: window}
}

// observe adds the requests of the time since the last observation.
func (m *shapeMean) observe(elapsed time.Duration, obs Observation) {
	elapsed = min(elapsed, maxShapeStep)
	keep := math.Exp(-elapsed.Seconds() / m.window.Seconds())
	m.requests, m.prompt, m.output = m.requests*keep, m.prompt*keep, m.output*keep
	if obs.Demand <= 0 || obs.OutputTokens <= 0 {
		return
	}
	m.requests += obs.Demand * elapsed.Seconds()
	m.prompt += obs.PromptTokens * elapsed.Seconds()
	m.output += obs.OutputTokens * elapsed.Seconds()
}

func (m *shapeMean) mean() Shape {
	n := m.requests + shapePrior
	return Shape{
		PromptTokens: (m.prompt + shapePrior*m.prior.PromptTokens) / n,
		OutputTokens: (m.output + shapePrior*m.prior.OutputTokens) / n,
	}
}
