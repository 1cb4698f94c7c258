package scaling

import (
	"math"
	"time"
)

const (
	// comfortableRunning is the number of requests at which an engine still keeps its
	// streams on time beside the reading of prompts, and comfortableShare the part of
	// its slots, for engines with few.
	comfortableRunning = 10
	comfortableShare   = 0.5
	// priorShare is the part of the endpoints found at the start that is taken for
	// the need until it was measured.
	priorShare = 0.7
	// settleFor is how long the list of endpoints must have stood before its length is
	// taken for the number that the operators began with: they register within some
	// seconds of their start.
	settleFor = 2 * time.Second
	// demandWindow smooths the load, and peakWindow is the time constant by which a
	// peak, or the first guess, is forgotten: traffic swings within some ten seconds.
	demandWindow = 2 * time.Second
	peakWindow   = 30 * time.Second
)

// demand estimates how many endpoints the load of a service needs.
type demand struct {
	most    int       // endpoints seen before the first request
	grown   time.Time // when there were last more of them
	begun   bool      // a request was seen
	at      time.Time
	running float64 // smoothed
	peak    float64 // of the endpoints needed
}

// update takes the load; present is the number of endpoints, each with so many
// slots.
func (d *demand) update(now time.Time, running, present, slots int) {
	if !d.begun && present > d.most {
		d.most, d.grown = present, now
		d.peak = priorShare * float64(present)
	}
	d.begun = d.begun || running > 0
	dt := now.Sub(d.at).Seconds()
	if d.at.IsZero() {
		dt = 0
	}
	d.at = now
	f := math.Exp(-dt / demandWindow.Seconds())
	d.running = d.running*f + float64(running)*(1-f)
	if d.begun {
		d.peak *= math.Exp(-dt / peakWindow.Seconds())
	}
	comfortable := max(min(comfortableRunning, comfortableShare*float64(slots)), 1)
	d.peak = max(d.peak, d.running/comfortable)
}

// endpoints returns how many endpoints are needed.
func (d *demand) endpoints() int { return int(math.Ceil(d.peak)) }

// settled tells whether enough is known to order by.
func (d *demand) settled(now time.Time) bool {
	return d.begun || d.most > 0 && now.Sub(d.grown) >= settleFor
}
