package fleet

import (
	"math"
	"time"
)

// Target is the latency to keep for 95 in 100 requests.
type Target struct {
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Shape is the mean request of a service.
type Shape struct {
	PromptTokens float64 // not cached
	OutputTokens float64
}

// Machine is what one host of a class can do.
type Machine struct {
	PrefillPerSec float64 // prompt tokens a second
	DecodePerSec  float64 // tokens a second of one stream alone
	BatchSlowdown float64 // share by which each other stream slows a token
	MaxRunning    int     // streams at once
}

// tailFactor relates the 95th percentile of an exponentially distributed wait to its mean.
const tailFactor = 3.0

// RequestsPerSec returns the rate at which one host keeps the target, or zero
// where it can't at any rate. Prefills queue for the processor (M/D/1); streams
// share a batch whose size bounds the time between tokens.
func (m Machine) RequestsPerSec(t Target, s Shape) float64 {
	return min(m.prefillRate(t, s), m.decodeRate(t, s))
}

func (m Machine) prefillRate(t Target, s Shape) float64 {
	prefill := s.PromptTokens / m.PrefillPerSec
	slack := t.FirstToken.Seconds() - prefill - 1/m.DecodePerSec
	if slack <= 0 {
		return 0
	}
	if prefill == 0 {
		return math.Inf(1)
	}
	// Mean wait: prefill * u / (2 (1-u)), with utilisation u.
	u := slack / (slack + tailFactor*prefill/2)
	return u / prefill
}

func (m Machine) decodeRate(t Target, s Shape) float64 {
	streams := float64(m.MaxRunning)
	if m.BatchSlowdown > 0 {
		streams = min(streams, math.Floor(1+(t.BetweenTokens.Seconds()*m.DecodePerSec-1)/m.BatchSlowdown))
	}
	if streams < 1 || s.OutputTokens == 0 {
		return 0
	}
	perStream := m.DecodePerSec / (1 + m.BatchSlowdown*(streams-1))
	return streams * perStream / s.OutputTokens
}
