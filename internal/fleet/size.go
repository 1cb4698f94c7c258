package fleet

import (
	"math"
	"time"
)

// Target is the 95th-percentile latency to keep.
type Target struct {
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// RequestSize is the mean size of a service's requests.
type RequestSize struct {
	PromptTokens float64 // not cached
	OutputTokens float64
}

// Performance describes the throughput of one host of a class.
type Performance struct {
	PrefillPerSec float64 // prompt tokens a second
	DecodePerSec  float64 // tokens a second of a single stream
	BatchSlowdown float64 // fraction by which each additional stream slows a token
	MaxRunning    int     // maximum number of concurrent streams
}

// p95Factor is the ratio of the 95th percentile to the mean of an exponentially
// distributed wait.
const p95Factor = 3.0

// RequestsPerSec returns the highest request rate at which one host keeps the target,
// or zero if it can't keep it at any rate. Prefills queue for the processor (M/D/1);
// streams share a batch, and the target's time between tokens limits its size.
func (p Performance) RequestsPerSec(target Target, size RequestSize) float64 {
	return min(p.prefillRate(target, size), p.decodeRate(target, size))
}

func (p Performance) prefillRate(target Target, size RequestSize) float64 {
	prefill := size.PromptTokens / p.PrefillPerSec
	maxWait := target.FirstToken.Seconds() - prefill - 1/p.DecodePerSec
	if maxWait <= 0 {
		return 0
	}
	if prefill == 0 {
		return math.Inf(1)
	}
	// The mean wait is prefill * u / (2 (1-u)) at utilisation u.
	utilisation := maxWait / (maxWait + p95Factor*prefill/2)
	return utilisation / prefill
}

func (p Performance) decodeRate(target Target, size RequestSize) float64 {
	streams := float64(p.MaxRunning)
	if p.BatchSlowdown > 0 {
		streams = min(streams, math.Floor(1+(target.BetweenTokens.Seconds()*p.DecodePerSec-1)/p.BatchSlowdown))
	}
	if streams < 1 || size.OutputTokens == 0 {
		return 0
	}
	perStream := p.DecodePerSec / (1 + p.BatchSlowdown*(streams-1))
	return streams * perStream / size.OutputTokens
}
