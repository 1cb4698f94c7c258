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

// dispatch sends each message in a goroutine of its own. Beyond the bound it drops
// them: the next digest repairs what was lost.
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

// receive hands a message to the node and returns what it sends.
func (s *Service) receive(m *peer.Message) []peer.Send {
	s.metrics.Received.Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.takeChanges()
	return s.mu.node.Receive(time.Now(), ident.NodeID(m.GetFrom()), m)
}

// answerTo hands a message to the node. What the node sends to its sender is
// returned for the answer, the rest is dispatched.
func (s *Service) answerTo(m *peer.Message) []*peer.Message {
	var answer []*peer.Message
	var others []peer.Send
	for _, send := range s.receive(m) {
		if string(send.To) == m.GetFrom() {
			answer = append(answer, send.Message)
		} else {
			others = append(others, send)
		}
	}
	s.dispatch(others)
	return answer
}

// Exchange takes a peer's message.
func (s *Service) Exchange(_ context.Context, req *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	m := req.Msg.GetMessage()
	if m.GetFrom() == "" || m.GetAddress() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("message has no sender"))
	}
	return connect.NewResponse(&peerv1.ExchangeResponse{Messages: s.answerTo(m)}), nil
}

// Fetch returns bytes of a registered provider.
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

// FetchFrom asks the peer at an address for the bytes under a name. It returns
// ErrNotFound where the peer has none.
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
