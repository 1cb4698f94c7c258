package scaling

import (
	"math"
	"time"
)

const (
	// targetRunning is the number of running requests at which an engine still delivers
	// its streams on time while it prefills prompts. targetSlotShare limits it to a
	// fraction of the slots, for engines with few slots.
	targetRunning   = 10
	targetSlotShare = 0.5
	// initialNeedShare is the fraction of the endpoints present at the start that is
	// assumed to be needed until requests arrive.
	initialNeedShare = 0.7
	// settleTime is how long the number of endpoints must not have grown before it counts
	// as the operators' initial number: endpoints register within some seconds of their
	// start.
	settleTime = 2 * time.Second
	// loadTimeConstant is the time constant of the moving average of the load.
	// peakTimeConstant is that of the decay of a peak or of the initial estimate: traffic
	// varies over some ten seconds.
	loadTimeConstant = 2 * time.Second
	peakTimeConstant = 30 * time.Second
)

// demand estimates how many endpoints the load of a service needs.
type demand struct {
	initialEndpoints int       // largest number before the first request
	lastIncrease     time.Time // when initialEndpoints last grew
	requestSeen      bool      // a request has arrived
	updatedAt        time.Time
	smoothedRunning  float64 // moving average of running requests
	peakNeed         float64 // decaying maximum of the endpoints needed
}

// update records the load: running is the number of running requests, present the
// number of endpoints, and slots the slots of each.
func (d *demand) update(now time.Time, running, present, slots int) {
	if !d.requestSeen && present > d.initialEndpoints {
		d.initialEndpoints, d.lastIncrease = present, now
		d.peakNeed = initialNeedShare * float64(present)
	}
	d.requestSeen = d.requestSeen || running > 0
	dt := now.Sub(d.updatedAt).Seconds()
	if d.updatedAt.IsZero() {
		dt = 0
	}
	d.updatedAt = now
	decay := math.Exp(-dt / loadTimeConstant.Seconds())
	d.smoothedRunning = d.smoothedRunning*decay + float64(running)*(1-decay)
	if d.requestSeen {
		d.peakNeed *= math.Exp(-dt / peakTimeConstant.Seconds())
	}
	target := max(min(targetRunning, targetSlotShare*float64(slots)), 1)
	d.peakNeed = max(d.peakNeed, d.smoothedRunning/target)
}

// need returns the number of endpoints needed.
func (d *demand) need() int { return int(math.Ceil(d.peakNeed)) }

// settled reports whether the estimate is reliable enough to place orders.
func (d *demand) settled(now time.Time) bool {
	return d.requestSeen || d.initialEndpoints > 0 && now.Sub(d.lastIncrease) >= settleTime
}
