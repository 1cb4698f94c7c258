package endpoint

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/testpeer"
)

// TestAbandonedCallsAreDiscarded checks that an attempt and an order to an engine that were given
// up don't arrive later if the kernel held them until then.
func TestAbandonedCallsAreDiscarded(t *testing.T) {
	long := strings.Repeat("x", testpeer.HeldBytes)
	for name, call := range map[string]func(ctx context.Context, c *Client, address string) error{
		"attempt": func(ctx context.Context, c *Client, address string) error {
			_, err := c.Chat(ctx, address, Meta{}, &ChatRequest{Messages: []Message{{Content: long}}})
			return err
		},
		"order": func(ctx context.Context, c *Client, address string) error {
			_, err := c.Order(ctx, address, EngineOrder{Version: ident.Version(long)})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			peer := testpeer.NewUnread(t)
			c := NewClient()
			defer c.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			if err := call(ctx, c, peer.Address()); err == nil {
				t.Error("a call that was not read has succeeded")
			}
			time.Sleep(50 * time.Millisecond) // until the connection is closed in the background
			if err := peer.ReadRequest(t); err == nil {
				t.Error("the call arrived after it was given up")
			}
		})
	}
}
