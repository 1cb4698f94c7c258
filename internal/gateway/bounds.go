package gateway

import (
	"cmp"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/directory"
	"github.com/jujubeshed/jujubeshed/internal/rollout"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// Fractions of the configured bounds that the node uses up by itself. The rest is left for
// the time that a change takes through the store, the relay and the node.
const (
	// watchShare is the fraction of the bounds on applying a configuration and on draining
	// an endpoint for which a watch may miss a change.
	watchShare = 0.5
	// missingShare is the fraction of the bound on draining an endpoint for which an
	// endpoint that is no longer registered may still receive requests.
	missingShare = 0.9
	// usedExposureShare is the fraction of the requests allowed to an unproved version that
	// is sent to it, as each node chooses versions and collects evidence separately.
	usedExposureShare = 0.6
)

// storeWatchWait returns the longest time that a watch on the store waits for a change, on
// a node that relays the changes to others.
func storeWatchWait(b site.Bounds) time.Duration {
	wait := directory.DefaultStoreWatchWait
	for _, limit := range []time.Duration{b.ConfigApply, b.Drain} {
		if limit > 0 {
			wait = min(wait, scaled(limit, watchShare))
		}
	}
	return wait
}

// evacuationWatchWait returns the longest time that a watch on the evacuations waits. Nodes that
// reach each other don't depend on one watch.
func evacuationWatchWait(b site.Bounds) time.Duration { return scaled(b.Evacuation, watchShare) }

// missingRetention returns how long an endpoint that is no longer registered may receive
// requests.
func missingRetention(b site.Bounds) time.Duration {
	if b.Drain == 0 {
		return directory.MissingRetention
	}
	return min(directory.MissingRetention, scaled(b.Drain, missingShare))
}

// heartbeatsUntilRemoval is the number of heartbeats that an endpoint may miss before the
// store removes its registration; doubtMargin allows for the removal to arrive here.
const (
	heartbeatsUntilRemoval = 3
	doubtMargin            = 900 * time.Millisecond
)

// doubtTime returns how long an endpoint is in doubt that the restored store lists again.
func doubtTime(s site.Settings) time.Duration {
	if s.Heartbeat == 0 {
		return directory.DefaultDoubtTime
	}
	return heartbeatsUntilRemoval*s.Heartbeat + doubtMargin
}

// unprovedShare returns the fraction of a service's requests that go to an unproved version.
func unprovedShare(b site.Bounds) float64 {
	return cmp.Or(usedExposureShare*b.ExposureShare, rollout.Share)
}

func scaled(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }
