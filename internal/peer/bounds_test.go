package peer_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/peer"
	"github.com/jujubeshed/jujubeshed/internal/peer/virtual"
)

// TestManyMarksAtOnce marks as many endpoints as a data centre has at once, and checks
// that all nodes get all marks and no message exceeds its maximum size.
func TestManyMarksAtOnce(t *testing.T) {
	defer invariant.SetFatal(invariant.SetFatal(true))
	const marks = 3000
	n := virtual.New(virtual.Options{Seed: 1, Loss: 0.05, Delay: time.Millisecond})
	for i := range 8 {
		n.Add(peer.Options{ID: ident.NodeID(fmt.Sprint("n", i)), DataCentre: ident.DataCentre(fmt.Sprint("dc", i%2)),
			Address: fmt.Sprint("10.0.0.", i, ":7000"), Seeds: []string{"10.0.0.0:7000", "10.0.0.1:7000"}})
	}
	n.Run(15 * time.Second)
	leaving := make([]peer.Mark, marks)
	for i := range leaving {
		leaving[i] = peer.Mark{Kind: peer.MarkEndpointLeaving, Subject: fmt.Sprintf("worker-of-some-length-%05d", i), Number: 1}
	}
	p := n.Procs()[3]
	n.Do(p, func(now time.Time) []peer.Send { return p.Node.Mark(now, leaving...) })
	n.Run(10 * time.Second)
	const slack = 4 << 10 // for the digest in the same message as the marks
	for _, p := range n.Procs() {
		if got := p.Node.MarkCount(); got != marks {
			t.Errorf("%s has %d marks, want %d", p.Opts.ID, got, marks)
		}
		if p.MaxBytes > peer.DefaultMessageBytes+slack {
			t.Errorf("%s sent a message of %d bytes, above the maximum", p.Opts.ID, p.MaxBytes)
		}
		if got := p.Node.FleetSize(); got != 8 {
			t.Errorf("%s: fleet size = %d, want 8", p.Opts.ID, got)
		}
	}
}

func TestLogSizeIsLimited(t *testing.T) {
	n := newNode()
	var err error
	for i := 0; err == nil && i < 10_000; i++ {
		err = n.Set(peer.TopicLoad, fmt.Sprint(i), make([]byte, 100))
	}
	if !errors.Is(err, peer.ErrLogFull) {
		t.Errorf("error = %v, want ErrLogFull", err)
	}
}

func newNode() *peer.Node {
	return peer.New(peer.Options{ID: "n1", DataCentre: "a", Address: "10.0.0.1:1", Incarnation: 5}, time.Unix(0, 0), rand.New(rand.NewPCG(1, 1)))
}

// FuzzReceive checks that no input that decodes as a message makes a node panic or
// violate an invariant.
func FuzzReceive(f *testing.F) {
	defer invariant.SetFatal(invariant.SetFatal(true))
	n := virtual.New(virtual.Options{Seed: 1})
	seen := 0
	n.OnSend = func(m *peer.Message) {
		if b, err := proto.Marshal(m); err == nil && seen < 200 {
			seen++
			f.Add(b)
		}
	}
	for i := range 4 {
		n.Add(peer.Options{ID: ident.NodeID(fmt.Sprint("n", i)), DataCentre: "a", Address: fmt.Sprint("10.0.0.", i, ":1"), Seeds: []string{"10.0.0.0:1"}})
	}
	n.Run(10 * time.Second)
	f.Fuzz(func(_ *testing.T, b []byte) {
		m := new(peer.Message)
		if proto.Unmarshal(b, m) != nil {
			return
		}
		node := newNode()
		now := time.Unix(0, 0)
		for range 3 {
			now = now.Add(time.Second)
			node.Receive(now, "n2", m)
			node.Tick(now)
		}
	})
}
