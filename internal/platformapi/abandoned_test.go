package platformapi

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/testpeer"
)

// TestAbandonedReleaseIsDiscarded checks that the release of a host that was given up doesn't
// arrive later if the kernel held it until then: the host may be in use again.
func TestAbandonedReleaseIsDiscarded(t *testing.T) {
	peer := testpeer.NewUnread(t)
	c, err := NewClient(ClientOptions{Address: peer.Address(), CallTimeout: 200 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	host := ident.Host(strings.Repeat("x", testpeer.HeldBytes))
	if err := c.Release(context.Background(), host); !errors.Is(err, ErrUnknown) {
		t.Errorf("error %v, want an unknown outcome", err)
	}
	time.Sleep(50 * time.Millisecond) // until the connection is closed in the background
	if err := peer.ReadRequest(t); err == nil {
		t.Error("the release arrived after it was given up")
	}
}
