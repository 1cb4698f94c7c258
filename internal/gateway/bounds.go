package gateway

import (
	"cmp"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/directory"
	"github.com/jujubeshed/jujubeshed/internal/rollout"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// Parts of the operators' bounds that the node uses; the rest is for the way of a change
// through the store, the relay and the node.
const (
	// watchShare is the part of the time for a change that a watch may miss it.
	watchShare = 0.5
	// missingShare is the part of the time for draining an endpoint in which one that is
	// no longer registered may still serve.
	missingShare = 0.9
	// exposedShare is the part of the requests allowed to an unproved version that it is
	// given: evidence and draws are spread over nodes.
	exposedShare = 0.6
)

// alertWait returns the wait of a watch at the store on which the other nodes rely.
func alertWait(b site.Bounds) time.Duration {
	wait := directory.DefaultStoreWatchWait
	for _, bound := range []time.Duration{b.ConfigApply, b.Drain} {
		if bound > 0 {
			wait = min(wait, scaled(bound, watchShare))
		}
	}
	return wait
}

// missingFor returns how long an endpoint that is no longer registered may serve.
func missingFor(b site.Bounds) time.Duration {
	if b.Drain == 0 {
		return directory.MissingRetention
	}
	return min(directory.MissingRetention, scaled(b.Drain, missingShare))
}

// unprovedShare returns the part of a service's requests that an unproved version gets.
func unprovedShare(b site.Bounds) float64 {
	return cmp.Or(exposedShare*b.ExposureShare, rollout.Share)
}

func scaled(d time.Duration, x float64) time.Duration { return time.Duration(x * float64(d)) }
