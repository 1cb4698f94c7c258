package gossip

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	peerv1 "github.com/jujubeshed/jujubeshed/api/gen/peer/v1"
	"github.com/jujubeshed/jujubeshed/api/gen/peer/v1/peerv1connect"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/peer"
)

// dispatch sends each message in its own goroutine. It drops messages beyond
// Options.InFlight; the next digests repair the loss.
func (s *Service) dispatch(sends []peer.Send) {
	for _, send := range sends {
		select {
		case s.inFlight <- struct{}{}:
			s.spawn(func() {
				defer func() { <-s.inFlight }()
				s.exchange(send)
			})
		default:
			s.metrics.Dropped.Inc()
		}
	}
}

func (s *Service) exchange(send peer.Send) {
	ctx, cancel := context.WithTimeout(s.ctx, s.o.Timeout)
	defer cancel()
	s.metrics.Sent.Inc()
	res, err := s.gossipClient(send.Address).Exchange(ctx, connect.NewRequest(&peerv1.ExchangeRequest{Message: send.Message}))
	if err != nil {
		s.metrics.Failed.Inc()
		s.log.Debug("peer: Exchange failed.", "address", send.Address, "error", err)
		return
	}
	for _, m := range res.Msg.GetMessages() {
		s.dispatch(s.receive(m))
	}
}

func (s *Service) gossipClient(address string) peerv1connect.GossipServiceClient {
	return peerv1connect.NewGossipServiceClient(s.client, "http://"+address,
		connect.WithReadMaxBytes(MaxBodyBytes), connect.WithAcceptCompression("gzip", nil, nil))
}

// receive passes a message to the node and returns the messages to send.
func (s *Service) receive(m *peer.Message) []peer.Send {
	s.metrics.Received.Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.queueChanges()
	return s.mu.node.Receive(time.Now(), ident.NodeID(m.GetFrom()), m)
}

// handleMessage passes a message to the node. It returns the node's messages to the
// sender for the response and dispatches the others.
func (s *Service) handleMessage(m *peer.Message) []*peer.Message {
	var replies []*peer.Message
	var others []peer.Send
	for _, send := range s.receive(m) {
		if string(send.To) == m.GetFrom() {
			replies = append(replies, send.Message)
		} else {
			others = append(others, send)
		}
	}
	s.dispatch(others)
	return replies
}

// Exchange handles a peer's message and returns the node's messages to that peer.
func (s *Service) Exchange(_ context.Context, req *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	m := req.Msg.GetMessage()
	if m.GetFrom() == "" || m.GetAddress() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("message has no sender"))
	}
	return connect.NewResponse(&peerv1.ExchangeResponse{Messages: s.handleMessage(m)}), nil
}

// Fetch returns the bytes that the provider of the requested kind has under a name.
func (s *Service) Fetch(ctx context.Context, req *connect.Request[peerv1.FetchRequest]) (*connect.Response[peerv1.FetchResponse], error) {
	p, ok := s.providers[req.Msg.GetKind()]
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errors.Newf("no provider of kind %q", req.Msg.GetKind()))
	}
	value, err := p(ctx, req.Msg.GetName())
	if errors.Is(err, ErrNotFound) {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&peerv1.FetchResponse{Value: value}), nil
}

// FetchFrom fetches the bytes of a kind and name from the peer at an address. It
// returns ErrNotFound if the peer has none.
func (s *Service) FetchFrom(ctx context.Context, address, kind, name string) ([]byte, error) {
	res, err := s.gossipClient(address).Fetch(ctx, connect.NewRequest(&peerv1.FetchRequest{Kind: kind, Name: name}))
	if connect.CodeOf(err) == connect.CodeNotFound {
		return nil, errors.Wrapf(ErrNotFound, "kind %q name %q at %s", kind, name, address)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "fetch %q of kind %q from %s", name, kind, address)
	}
	return res.Msg.GetValue(), nil
}
