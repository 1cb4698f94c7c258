package sharing_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/quota"
	"github.com/jujubeshed/jujubeshed/internal/sharing"
)

// freePort returns a port that no one on loopback uses for datagrams.
func freePort(t *testing.T) int {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.31:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().(*net.UDPAddr).Port
}

// TestNewsReachAll: what a node has to tell reaches all others by datagrams, in several
// where there are many workspaces; what is no news is passed over.
func TestNewsReachAll(t *testing.T) {
	const nodes, workspaces = 3, 70
	port := freePort(t)
	type heard struct {
		from  quota.NodeIncarnation
		asOf  time.Time
		spent quota.Spending
	}
	got := make([]chan heard, nodes)
	told := make(chan quota.Spending, 1)
	at := time.UnixMilli(1_700_000_000_123)
	for i := range nodes {
		got[i] = make(chan heard, 100)
		n := sharing.NewSpendingNotifier(sharing.SpendingNotifierOptions{
			Self: life(fmt.Sprint("n", i), 1), IP: fmt.Sprintf("127.0.0.%d", 31+i), Port: port,
			Peers: func(time.Duration) []sharing.NodeState {
				var rows []sharing.NodeState
				for j := range nodes {
					if j != i {
						rows = append(rows, sharing.NodeState{Address: fmt.Sprintf("127.0.0.%d:99", 31+j)})
					}
				}
				return append(rows, sharing.NodeState{Address: "no address"})
			},
			Spent: func() quota.Spending {
				if i > 0 {
					return nil
				}
				select {
				case s := <-told:
					return s
				default:
					return nil
				}
			},
			OnSpent: func(from quota.NodeIncarnation, asOf time.Time, spent quota.Spending) {
				got[i] <- heard{from, asOf, spent}
			},
			Now: func() time.Time { return at },
		})
		if err := n.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = n.Stop(context.Background()) })
	}
	stray, err := net.Dial("udp4", fmt.Sprintf("127.0.0.32:%d", port))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stray.Close() }()
	if _, err := stray.Write([]byte("no news")); err != nil {
		t.Fatal(err)
	}
	spent := make(quota.Spending)
	for i := range workspaces {
		spent[ident.Workspace(fmt.Sprint("w", i))] = float64(i)
	}
	told <- spent
	for i := 1; i < nodes; i++ {
		all := make(quota.Spending)
		for len(all) < workspaces {
			select {
			case h := <-got[i]:
				if h.from != life("n0", 1) || !h.asOf.Equal(at) {
					t.Errorf("news of %v as of %s", h.from, h.asOf)
				}
				for name, v := range h.spent {
					all[name] = v
				}
			case <-time.After(20 * time.Second):
				t.Fatalf("node %d heard of %d workspaces", i, len(all))
			}
		}
		if all["w69"] != 69 {
			t.Errorf("node %d heard %v", i, all["w69"])
		}
	}
}
