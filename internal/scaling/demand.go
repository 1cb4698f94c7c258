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
	priorShare = 0.8
	// learnFor is how long the load is measured before endpoints are given up for it.
	learnFor = 8 * time.Second
	// demandWindow smooths the load, and peakWindow is the time constant by which a
	// peak is forgotten: traffic swings within some ten seconds.
	demandWindow = 2 * time.Second
	peakWindow   = 40 * time.Second
)

// demand estimates how many endpoints the load of a service needs.
type demand struct {
	prior   float64 // endpoints
	since   time.Time
	at      time.Time
	running float64 // smoothed
	peak    float64 // of running
}

// update takes the load; present is the number of endpoints.
func (d *demand) update(now time.Time, running, present int) {
	if d.prior == 0 {
		d.prior = priorShare * float64(present)
	}
	if running > 0 && d.since.IsZero() {
		d.since = now
	}
	dt := now.Sub(d.at).Seconds()
	if d.at.IsZero() {
		dt = 0
	}
	d.at = now
	f := math.Exp(-dt / demandWindow.Seconds())
	d.running = d.running*f + float64(running)*(1-f)
	d.peak = max(d.peak*math.Exp(-dt/peakWindow.Seconds()), d.running)
}

// endpoints returns how many endpoints with so many slots are needed.
func (d *demand) endpoints(now time.Time, slots int) int {
	comfortable := min(comfortableRunning, comfortableShare*float64(slots))
	need := d.peak / max(comfortable, 1)
	if d.since.IsZero() || now.Sub(d.since) < learnFor {
		need = max(need, d.prior)
	}
	return int(math.Ceil(need))
}
