package gateway

import (
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/directory"
	"github.com/jujubeshed/jujubeshed/internal/rollout"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// TestTimesFollowTheBounds: what the node takes of each bound leaves room for the way of
// a change, also where operators set tighter or looser bounds.
func TestTimesFollowTheBounds(t *testing.T) {
	for _, b := range []site.Bounds{
		{},
		{Drain: 2 * time.Second, ConfigApply: 2 * time.Second, ExposureShare: 0.1},
		{Drain: 3 * time.Second, ConfigApply: 3 * time.Second, ExposureShare: 0.2},
		{Drain: 800 * time.Millisecond, ConfigApply: 4 * time.Second, ExposureShare: 0.02},
		{Drain: 4 * time.Second, ConfigApply: 500 * time.Millisecond},
	} {
		wait, missing, share := alertWait(b), missingFor(b), unprovedShare(b)
		if wait <= 0 || wait > directory.DefaultStoreWatchWait || missing <= 0 || missing > directory.MissingRetention || share <= 0 {
			t.Errorf("%+v: wait %s, missing for %s, share %v", b, wait, missing, share)
		}
		if b.ConfigApply > 0 && wait > b.ConfigApply/2 || b.Drain > 0 && (wait > b.Drain/2 || missing >= b.Drain) {
			t.Errorf("%+v: wait %s, missing for %s", b, wait, missing)
		}
		if b.ExposureShare > 0 && share >= b.ExposureShare || b.ExposureShare == 0 && share != rollout.Share {
			t.Errorf("%+v: share %v", b, share)
		}
	}
}
