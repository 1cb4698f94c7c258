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
	// notifyInterval is how often a node checks whether it has urgent spending to send.
	notifyInterval = 50 * time.Millisecond
	// maxPeerAge is the age of a node's state up to which datagrams are sent to the node.
	maxPeerAge = 3 * time.Second
	// maxWorkspacesPerDatagram keeps datagrams small enough not to be fragmented;
	// maxDatagramBytes is the size of the read buffer.
	maxWorkspacesPerDatagram = 30
	maxDatagramBytes         = 2 << 10
)

// SpendingNotifierOptions are the settings of a SpendingNotifier.
type SpendingNotifierOptions struct {
	Self quota.NodeIncarnation
	// IP and Port are the address on which datagrams are received. The port is the same at
	// all nodes.
	IP   string
	Port int
	// Peers returns the states of other nodes that were updated at most age ago.
	Peers func(age time.Duration) []*NodeState
	// Spent returns the urgent spending to send to all nodes; it is empty for none.
	Spent func() quota.Spending
	// OnSpent is called with the spending of another node as of a time by its clock.
	OnSpent func(from quota.NodeIncarnation, asOf time.Time, spent quota.Spending)
	// Now returns the time of day.
	Now func() time.Time
}

// SpendingNotifier sends urgent spending, which can't wait for the exchange of states, to
// all nodes by UDP datagrams. The exchange makes up for lost datagrams.
type SpendingNotifier struct {
	opts SpendingNotifierOptions
	conn *net.UDPConn
	loop *kernel.Loop
	done chan struct{}
}

// NewSpendingNotifier returns a notifier that has not started.
func NewSpendingNotifier(opts SpendingNotifierOptions) *SpendingNotifier {
	n := &SpendingNotifier{opts: opts, done: make(chan struct{})}
	n.loop = kernel.NewLoop(notifyInterval, n.notifyPeers)
	return n
}

// Start starts to receive and to send urgent spending.
func (n *SpendingNotifier) Start(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(n.opts.IP), Port: n.opts.Port})
	if err != nil {
		return errors.Wrapf(err, "listen for urgent spending at %s:%d", n.opts.IP, n.opts.Port)
	}
	n.conn = conn
	go n.receive()
	return n.loop.Start(ctx)
}

// Stop stops the notifier and closes its socket.
func (n *SpendingNotifier) Stop(ctx context.Context) error {
	err := n.loop.Stop(ctx)
	if n.conn != nil {
		_ = n.conn.Close() // ends receive
		<-n.done
	}
	return err
}

// notifyPeers sends the urgent spending, if any, to all nodes.
func (n *SpendingNotifier) notifyPeers(context.Context) {
	spent := n.opts.Spent()
	if len(spent) == 0 {
		return
	}
	asOf := n.opts.Now().UnixMilli()
	for names := range slices.Chunk(slices.Sorted(maps.Keys(spent)), maxWorkspacesPerDatagram) {
		msg := &sharingv1.Row{Node: string(n.opts.Self.Node), Life: uint64(n.opts.Self.Incarnation), AsOf: asOf, Spent: make(map[string]float64, len(names))}
		for _, name := range names {
			msg.Spent[string(name)] = spent[name]
		}
		raw, err := proto.Marshal(msg)
		if err != nil {
			continue // a name that is not valid UTF-8 can't be sent in a state either
		}
		n.sendToPeers(raw)
	}
}

func (n *SpendingNotifier) sendToPeers(raw []byte) {
	for _, state := range n.opts.Peers(maxPeerAge) {
		host, _, err := net.SplitHostPort(state.Address)
		if err != nil {
			continue // exchanges with this node fail, too, and log the failure
		}
		// A datagram that can't be sent is treated as lost.
		_, _ = n.conn.WriteToUDP(raw, &net.UDPAddr{IP: net.ParseIP(host), Port: n.opts.Port})
	}
}

// receive passes the spending of other nodes to OnSpent until the socket is closed.
func (n *SpendingNotifier) receive() {
	defer close(n.done)
	buf := make([]byte, maxDatagramBytes)
	for {
		size, _, err := n.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(notifyInterval) // a transient socket error; lost datagrams are tolerated
			continue
		}
		msg := &sharingv1.Row{}
		if proto.Unmarshal(buf[:size], msg) != nil || msg.Node == "" {
			continue // not a datagram of a node
		}
		spent := make(quota.Spending, len(msg.Spent))
		for name, amount := range msg.Spent {
			spent[ident.Workspace(name)] = amount
		}
		n.opts.OnSpent(quota.NodeIncarnation{Node: ident.NodeID(msg.Node), Incarnation: ident.Incarnation(msg.Life)}, time.UnixMilli(msg.AsOf), spent)
	}
}
