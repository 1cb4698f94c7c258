package gateway

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/rollout"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// statusStore records the versions for which a status is written.
type statusStore struct {
	platformapi.Feed
	versions []platformapi.Version
}

func (s *statusStore) PutStatus(_ context.Context, _ platformapi.Key, _ []byte, expect platformapi.Version) error {
	s.versions = append(s.versions, expect)
	return nil
}

// TestStateOfReplacedOrderIsNotReported guards against the state of one order that is written to
// the next one, or without a condition: such a write may arrive late and replace a later state.
func TestStateOfReplacedOrderIsNotReported(t *testing.T) {
	store := &statusStore{}
	v := newVersions(Adapter{
		Store: store, MoveKind: "rollouts",
		DecodeMove: func(value, _ []byte) (site.VersionMove, error) {
			return site.VersionMove{Service: "s", Target: ident.Version(value), Within: time.Minute}, nil
		},
		EncodeMoveStatus: func(ident.Version, site.MoveState) ([]byte, error) { return []byte("{}"), nil },
	}, 0.1, nil, slog.New(slog.DiscardHandler))
	order := func(version platformapi.Version, target string) []platformapi.Object {
		return []platformapi.Object{{Key: "rollouts/s", Version: version, Value: []byte(target)}}
	}
	outcome := rollout.Outcome{Service: "s", Target: "v2", State: site.MoveRolledBack}
	v.Change(order(5, "v2"))
	v.reportOutcome(context.Background(), outcome)
	v.Change(order(6, "v3"))
	v.reportOutcome(context.Background(), outcome)
	v.Replace(nil)
	v.reportOutcome(context.Background(), outcome)
	if len(store.versions) != 1 || store.versions[0] != 5 {
		t.Errorf("states were written for versions %v, want only 5", store.versions)
	}
}
