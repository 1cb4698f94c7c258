package fleet

import (
	"math"
	"time"
)

// sample is the demand observed at a time.
type sample struct {
	at   time.Time
	rate float64 // requests a second
}

// forecast estimates the demand that the hosts must serve from the observed demand.
type forecast struct {
	trendWindow time.Duration // time over which the growth is measured
	peakWindow  time.Duration // time for which a peak prevents a scale-down
	margin      float64
	samples     []sample // those within the longer of the two windows, oldest first
}

// observe adds a sample and drops those older than both windows.
func (f *forecast) observe(now time.Time, rate float64) {
	f.samples = append(f.samples, sample{now, rate})
	oldest := now.Add(-max(f.trendWindow, f.peakWindow))
	for len(f.samples) > 1 && f.samples[0].at.Before(oldest) {
		f.samples = f.samples[1:]
	}
}

// need returns the rate, with margin, that is expected when hosts bought now serve.
// The trend adds at most the current rate, because a burst distorts the slope.
func (f *forecast) need(now time.Time, leadTime time.Duration) float64 {
	if len(f.samples) == 0 {
		return 0
	}
	rate := f.samples[len(f.samples)-1].rate
	growth := min(max(0, f.slope(now))*leadTime.Seconds(), rate)
	return (rate + growth) * (1 + f.margin)
}

// peak returns the highest demand within the peak window, with margin.
func (f *forecast) peak(now time.Time) float64 {
	highest := 0.0
	for _, s := range f.samples {
		if !s.at.Before(now.Add(-f.peakWindow)) {
			highest = max(highest, s.rate)
		}
	}
	return highest * (1 + f.margin)
}

// slope returns the growth of the demand over the trend window, in requests a second
// per second, by least squares.
func (f *forecast) slope(now time.Time) float64 {
	var n, sx, sy, sxx, sxy float64
	for _, s := range f.samples {
		if s.at.Before(now.Add(-f.trendWindow)) {
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

// priorWeight is the number of requests that the configured request size counts as.
const priorWeight = 100.0

// maxObservationInterval is the maximum time that one observation represents.
const maxObservationInterval = time.Minute

// meanRequestSize is an exponentially weighted mean of the request size that starts
// from the configured size.
type meanRequestSize struct {
	prior        RequestSize
	window       time.Duration
	requests     float64
	promptTokens float64
	outputTokens float64
}

func newMeanRequestSize(prior RequestSize, window time.Duration) meanRequestSize {
	return meanRequestSize{prior: prior, window: window}
}

// observe adds the requests of the time elapsed since the last observation.
func (m *meanRequestSize) observe(elapsed time.Duration, obs Observation) {
	elapsed = min(elapsed, maxObservationInterval)
	decay := math.Exp(-elapsed.Seconds() / m.window.Seconds())
	m.requests, m.promptTokens, m.outputTokens = m.requests*decay, m.promptTokens*decay, m.outputTokens*decay
	if obs.Demand <= 0 || obs.OutputTokens <= 0 {
		return
	}
	m.requests += obs.Demand * elapsed.Seconds()
	m.promptTokens += obs.PromptTokens * elapsed.Seconds()
	m.outputTokens += obs.OutputTokens * elapsed.Seconds()
}

func (m *meanRequestSize) mean() RequestSize {
	n := m.requests + priorWeight
	return RequestSize{
		PromptTokens: (m.promptTokens + priorWeight*m.prior.PromptTokens) / n,
		OutputTokens: (m.outputTokens + priorWeight*m.prior.OutputTokens) / n,
	}
}
