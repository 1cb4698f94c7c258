package placement

import "time"

const (
	// consecutiveFaultLimit is the number of consecutive faults that ejects an endpoint. An
	// endpoint that fails 1 in 50 requests reaches three by chance with a probability below
	// 1 in 100,000.
	consecutiveFaultLimit = 3
	// faultRateWeight is the weight of the last outcome in the smoothed fault rate.
	faultRateWeight = 0.15
	// faultRateLimit is the fault rate that ejects an endpoint whose faults are frequent
	// but not consecutive.
	faultRateLimit = 0.4
	// faultRateRetention is how long the fault rate is used after the last outcome.
	faultRateRetention = 10 * time.Second
)

// health tracks the faults of an endpoint.
type health struct {
	consecutiveFaults int
	faultRate         float64 // smoothed
	updated           time.Time
	ejectedUntil      time.Time
	fullUntil         time.Time // refused a request as full; avoided until then
	// backoffUntil is the time until which the endpoint has asked for no calls at all, and
	// backoffTime how long it asked for.
	backoffUntil time.Time
	backoffTime  time.Duration
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }
func (h *health) full(now time.Time) bool    { return now.Before(h.fullUntil) }

func (h *health) backingOff(now time.Time) bool { return now.Before(h.backoffUntil) }

// backOff records that the endpoint wants no calls for d. An earlier, longer time stays.
func (h *health) backOff(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(h.backoffUntil) {
		h.backoffUntil, h.backoffTime = until, d
	}
}

// recentFaultRate returns the fault rate, or 0 after faultRateRetention without outcomes.
func (h *health) recentFaultRate(now time.Time) float64 {
	if now.Sub(h.updated) > faultRateRetention {
		return 0
	}
	return h.faultRate
}

// record adds an outcome and reports whether the endpoint should be ejected.
func (h *health) record(now time.Time, fault bool) bool {
	rate := h.recentFaultRate(now) * (1 - faultRateWeight)
	h.updated = now
	if !fault {
		h.consecutiveFaults, h.faultRate = 0, rate
		return false
	}
	h.consecutiveFaults++
	h.faultRate = rate + faultRateWeight
	return h.consecutiveFaults >= consecutiveFaultLimit || h.faultRate >= faultRateLimit
}

func (h *health) eject(now time.Time, d time.Duration) {
	h.ejectedUntil = now.Add(d)
	h.consecutiveFaults, h.faultRate = consecutiveFaultLimit-1, 0 // the next fault ejects it again
}
