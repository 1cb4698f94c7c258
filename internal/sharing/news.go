package sharing

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	sharingv1 "github.com/jujubeshed/jujubeshed/api/gen/sharing/v1"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/quota"
)

const (
	// newsEvery is how often a node looks whether it has spent what all have to know at
	// once.
	newsEvery = 50 * time.Millisecond
	// newsAge is the age of a row up to which its node is told.
	newsAge = 3 * time.Second
	// maxNewsEntries bounds the workspaces of one datagram, so that it is not split on
	// its way; maxDatagram bounds what is read.
	maxNewsEntries = 30
	maxDatagram    = 2 << 10
)

// SpendingNotifierOptions are the settings of a SpendingNotifier.
type SpendingNotifierOptions struct {
	Self quota.NodeIncarnation
	// IP and Port that datagrams are taken at; the port is the same at all nodes.
	IP   string
	Port int
	// Peers returns the rows of other nodes that are at most that old.
	Peers func(age time.Duration) []NodeState
	// Spent returns what all nodes have to know now; nil for nothing.
	Spent func() quota.Spending
	// OnSpent takes what another node has spent as of a time by its clock.
	OnSpent func(from quota.NodeIncarnation, asOf time.Time, spent quota.Spending)
	// Now tells the time of day.
	Now func() time.Time
}

// SpendingNotifier tells all nodes at once, by datagrams, of spending that can't wait for the rows.
// A datagram that is lost is made up for by the rows.
type SpendingNotifier struct {
	opts SpendingNotifierOptions
	conn *net.UDPConn
	loop *kernel.Loop
	done chan struct{}
}

// NewSpendingNotifier returns a service that has not started.
func NewSpendingNotifier(opts SpendingNotifierOptions) *SpendingNotifier {
	n := &SpendingNotifier{opts: opts, done: make(chan struct{})}
	n.loop = kernel.NewLoop(newsEvery, n.tell)
	return n
}

// Start begins to take and to tell news.
func (n *SpendingNotifier) Start(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(n.opts.IP), Port: n.opts.Port})
	if err != nil {
		return errors.Wrapf(err, "listen for news at %s:%d", n.opts.IP, n.opts.Port)
	}
	n.conn = conn
	go n.take()
	return n.loop.Start(ctx)
}

// Stop ends that.
func (n *SpendingNotifier) Stop(ctx context.Context) error {
	err := n.loop.Stop(ctx)
	if n.conn != nil {
		_ = n.conn.Close() // ends take
		<-n.done
	}
	return err
}

// tell sends what all nodes have to know.
func (n *SpendingNotifier) tell(context.Context) {
	spent := n.opts.Spent()
	if len(spent) == 0 {
		return
	}
	asOf := n.opts.Now().UnixMilli()
	for names := range slices.Chunk(slices.Sorted(maps.Keys(spent)), maxNewsEntries) {
		w := &sharingv1.Row{Node: string(n.opts.Self.Node), Life: uint64(n.opts.Self.Incarnation), AsOf: asOf, Spent: make(map[string]float64, len(names))}
		for _, name := range names {
			w.Spent[string(name)] = spent[name]
		}
		raw, err := proto.Marshal(w)
		if err != nil {
			continue // a name that is no text: the rows can't tell of it either
		}
		n.send(raw)
	}
}

func (n *SpendingNotifier) send(raw []byte) {
	for _, r := range n.opts.Peers(newsAge) {
		host, _, err := net.SplitHostPort(r.Address)
		if err != nil {
			continue // the row's exchanges fail, too, and say so
		}
		// A datagram that can't be sent is as one that is lost.
		_, _ = n.conn.WriteToUDP(raw, &net.UDPAddr{IP: net.ParseIP(host), Port: n.opts.Port})
	}
}

// take passes on what other nodes tell.
func (n *SpendingNotifier) take() {
	defer close(n.done)
	buf := make([]byte, maxDatagram)
	for {
		size, _, err := n.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(newsEvery) // a passing error of the socket; datagrams are hints
			continue
		}
		w := &sharingv1.Row{}
		if proto.Unmarshal(buf[:size], w) != nil || w.Node == "" {
			continue // not a node's
		}
		spent := make(quota.Spending, len(w.Spent))
		for name, v := range w.Spent {
			spent[ident.Workspace(name)] = v
		}
		n.opts.OnSpent(quota.NodeIncarnation{Node: ident.NodeID(w.Node), Incarnation: ident.Incarnation(w.Life)}, time.UnixMilli(w.AsOf), spent)
	}
}
