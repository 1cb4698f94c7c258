package placement

import "time"

const (
	// faultsInRow takes an endpoint out of use: at three the chance that a healthy
	// one is meant, of which one answer in fifty fails, is below 1 in 100,000.
	faultsInRow = 3
	// faultGain is the weight of the last outcome in the part of faults.
	faultGain = 0.15
	// faultLimit takes an endpoint out of use that fails often, but not in a row.
	faultLimit = 0.4
	// faultMemory is how long an old part of faults counts.
	faultMemory = 10 * time.Second
)

// health is an endpoint's record of faults.
type health struct {
	inRow int
	rate  float64 // smoothed part of faults
	at    time.Time
	until time.Time // out of use
	full  time.Time // has no room until then
}

func (h *health) out(now time.Time) bool  { return now.Before(h.until) }
func (h *health) busy(now time.Time) bool { return now.Before(h.full) }

// faults returns the recent part of faults.
func (h *health) faults(now time.Time) float64 {
	if now.Sub(h.at) > faultMemory {
		return 0
	}
	return h.rate
}

// record takes an outcome and tells whether the endpoint is to be left out.
func (h *health) record(now time.Time, fault bool) bool {
	rate := h.faults(now) * (1 - faultGain)
	h.at = now
	if !fault {
		h.inRow, h.rate = 0, rate
		return false
	}
	h.inRow++
	h.rate = rate + faultGain
	return h.inRow >= faultsInRow || h.rate >= faultLimit
}

func (h *health) eject(now time.Time, d time.Duration) {
	h.until = now.Add(d)
	h.inRow, h.rate = faultsInRow-1, 0 // the next fault counts at once
}
