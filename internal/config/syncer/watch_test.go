package syncer

import (
	"context"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/standin/memstore"
)

// TestWatchAloneBringsRevisions leaves a node without listings: what it sees of
// an operator's own round of acceptance, also when it woke in its middle, must be
// in force without waiting for the next listing.
func TestWatchAloneBringsRevisions(t *testing.T) {
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
