package syncer

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/standin/memstore"
)

// TestWatchDeliversRevisionsBetweenListings checks that a watching node puts revisions in
// force without waiting for the next listing, also if its watch returns in the middle of
// the operator's acceptance round.
func TestWatchDeliversRevisionsBetweenListings(t *testing.T) {
	store := memstore.New(memstore.Options{})
	changes := make(chan ident.Revision, 100)
	node := New(Options{
		Store:    store,
		Resync:   time.Hour,
		OnChange: func(c *config.Config) { changes <- c.Revision },
	})
	node.SetWatching(true)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = node.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	operator := New(Options{Store: store})
	for i := range 5 {
		file := config.File{Name: "10-a.yaml", Data: []byte("services:\n  s: {kind: engine, version: v" + string(rune('1'+i)) + "}\n")}
		if _, err := operator.Apply(ctx, []config.File{file}); err != nil {
			t.Fatal(err)
		}
		for got := ident.Revision(0); got < operator.Revision(); {
			select {
			case got = <-changes:
			case <-time.After(9 * time.Second):
				t.Fatalf("revision %d is not in force after 9 s", operator.Revision())
			}
		}
	}
}

// hookStore is a store that calls f once, after the first put of a key.
type hookStore struct {
	platformapi.Store
	after platformapi.Key
	f     func()
}

func (b *hookStore) Put(ctx context.Context, key platformapi.Key, value []byte, expect platformapi.Version) (platformapi.Version, error) {
	v, err := b.Store.Put(ctx, key, value, expect)
	if key == b.after && b.f != nil {
		f := b.f
		b.f = nil
		f()
	}
	return v, err
}

// TestApplyReportsOverwrittenFiles checks that Apply reports a file that another
// operator overwrites between its write and its acceptance.
func TestApplyReportsOverwrittenFiles(t *testing.T) {
	store := memstore.New(memstore.Options{})
	file := func(version string) []config.File {
		return []config.File{{Name: "10-a.yaml", Data: []byte("services:\n  s: {kind: engine, version: " + version + "}\n")}}
	}
	ctx := context.Background()
	first := New(Options{Store: &hookStore{Store: store, after: config.FileKey("10-a.yaml"), f: func() {
		if _, err := New(Options{Store: store}).Apply(ctx, file("v2")); err != nil {
			t.Error(err)
		}
	}}})
	if _, err := first.Apply(ctx, file("v1")); !errors.Is(err, ErrChangedMeanwhile) {
		t.Errorf("error = %v; want ErrChangedMeanwhile", err)
	}
	if got := first.Current().Services["s"].Version; got != "v2" {
		t.Errorf("version in force = %q; want v2, which was written last", got)
	}
}
