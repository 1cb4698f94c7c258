package gateway

import (
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/directory"
	"github.com/jujubeshed/jujubeshed/internal/rollout"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// TestSettingsStayWithinBounds checks that the times and the share derived from the bounds
// leave room for the propagation of a change, also with tighter or looser bounds.
func TestSettingsStayWithinBounds(t *testing.T) {
	for _, b := range []site.Bounds{
		{},
		{Drain: 2 * time.Second, ConfigApply: 2 * time.Second, ExposureShare: 0.1},
		{Drain: 3 * time.Second, ConfigApply: 3 * time.Second, ExposureShare: 0.2},
		{Drain: 800 * time.Millisecond, ConfigApply: 4 * time.Second, ExposureShare: 0.02},
		{Drain: 4 * time.Second, ConfigApply: 500 * time.Millisecond},
	} {
		wait, missing, share := storeWatchWait(b), missingRetention(b), unprovedShare(b)
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
