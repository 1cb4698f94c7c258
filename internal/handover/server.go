// Package handover transfers running chat completions between entry nodes and lets any
// node follow an answer that is stored on another one.
package handover

import (
	"context"
	"log/slog"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	handoverv1 "github.com/jujubeshed/jujubeshed/api/gen/handover/v1"
	"github.com/jujubeshed/jujubeshed/api/gen/handover/v1/handoverv1connect"
	"github.com/jujubeshed/jujubeshed/internal/answer"
	"github.com/jujubeshed/jujubeshed/internal/entry"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Acceptor continues chat completions that other nodes hand over.
type Acceptor interface {
	// AcceptHandover starts the chat completion. It returns an error if this node can't
	// accept it.
	AcceptHandover(chat *entry.ChatCompletion) error
}

// Server handles the handover calls of other nodes.
type Server struct {
	log      *slog.Logger
	config   entry.ConfigSource
	answers  *answer.Table
	acceptor Acceptor
	client   *PeerClient
}

var _ handoverv1connect.AnswerServiceHandler = (*Server)(nil)

// NewServer returns a Server for the node's answers. It uses client to query the other
// nodes of its data centre when a call asks for forwarding.
func NewServer(log *slog.Logger, config entry.ConfigSource, answers *answer.Table, acceptor Acceptor, client *PeerClient) *Server {
	return &Server{log: log, config: config, answers: answers, acceptor: acceptor, client: client}
}

// Handler returns the path and handler to register on the listener for other nodes.
func (s *Server) Handler() (string, http.Handler) {
	return handoverv1connect.NewAnswerServiceHandler(s)
}

// HandOver accepts a chat completion that another node hands over.
func (s *Server) HandOver(_ context.Context, req *connect.Request[handoverv1.HandOverRequest]) (*connect.Response[handoverv1.HandOverResponse], error) {
	chat, err := chatFromProto(req.Msg, s.config.Current())
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	if err := s.acceptor.AcceptHandover(chat); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	s.log.Info("handover: Accepted an answer of another node.", "request", string(chat.Request.ID), "tokens", chat.Answer.Len())
	return connect.NewResponse(&handoverv1.HandOverResponse{}), nil
}

// find returns an answer of this node or, if forward is set, of another node of its data
// centre. It returns nil if there is none.
func (s *Server) find(ctx context.Context, id ident.RequestID, forward bool) *answer.Answer {
	if a := s.answers.Get(id); a != nil && !a.End().HandedOver {
		return a
	}
	if !forward {
		return nil
	}
	return s.client.findLocal(ctx, id)
}

// Follow streams an answer of this node or, if the request asks for forwarding, of
// another node of its data centre.
func (s *Server) Follow(ctx context.Context, req *connect.Request[handoverv1.FollowRequest], out *connect.ServerStream[handoverv1.FollowResponse]) error {
	a := s.find(ctx, ident.RequestID(req.Msg.GetRequestId()), req.Msg.GetForward())
	if a == nil {
		return connect.NewError(connect.CodeNotFound, errors.Newf("answer %q not found", req.Msg.GetRequestId()))
	}
	head := &handoverv1.Head{Workspace: string(a.Workspace), Model: a.Model, Stream: a.Stream}
	if err := out.Send(&handoverv1.FollowResponse{Head: head}); err != nil {
		return err
	}
	reader := a.Follow(0)
	defer reader.Close(now())
	for {
		segment := reader.Next()
		if segment.To > segment.From || segment.End.Done {
			if err := out.Send(segmentToProto(segment)); err != nil || segment.End.Done {
				return err
			}
		}
		select {
		case <-reader.Wake():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func segmentToProto(seg answer.Segment) *handoverv1.FollowResponse {
	msg := &handoverv1.FollowResponse{Text: seg.Text, TokenEnds: seg.Ends}
	if seg.End.Done {
		msg.End = endToProto(seg.End)
	}
	return msg
}
