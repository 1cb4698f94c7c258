// Package handover moves running answers between entry nodes and lets any node
// follow an answer that another one holds.
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

// Adopter goes on with a job of another node.
type Acceptor interface {
	// Adopt starts the job. It returns an error where this node can't take it.
	AcceptHandover(chat *entry.ChatCompletion) error
}

// Server answers other nodes' calls.
type Server struct {
	log      *slog.Logger
	config   entry.ConfigSource
	answers  *answer.Table
	acceptor Acceptor
	client   *PeerClient
}

var _ handoverv1connect.AnswerServiceHandler = (*Server)(nil)

// NewServer returns a server over the node's answers. It forwards calls for
// answers of its data centre through remote.
func NewServer(log *slog.Logger, config entry.ConfigSource, answers *answer.Table, acceptor Acceptor, client *PeerClient) *Server {
	return &Server{log: log, config: config, answers: answers, acceptor: acceptor, client: client}
}

// Handler returns the path and handler to mount on the peers' listener.
func (s *Server) Handler() (string, http.Handler) {
	return handoverv1connect.NewAnswerServiceHandler(s)
}

// HandOver takes over a job.
func (s *Server) HandOver(_ context.Context, req *connect.Request[handoverv1.HandOverRequest]) (*connect.Response[handoverv1.HandOverResponse], error) {
	chat, err := chatFromProto(req.Msg, s.config.Current())
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	if err := s.acceptor.AcceptHandover(chat); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	s.log.Info("handover: Took over an answer.", "request", string(chat.Request.ID), "tokens", chat.Answer.Len())
	return connect.NewResponse(&handoverv1.HandOverResponse{}), nil
}

// find returns an answer of this node, or of its data centre where forward is set.
func (s *Server) find(ctx context.Context, id ident.RequestID, forward bool) *answer.Answer {
	if a := s.answers.Get(id); a != nil && !a.End().HandedOver {
		return a
	}
	if !forward {
		return nil
	}
	return s.client.findLocal(ctx, id)
}

// Follow streams an answer of this node, or of its data centre.
func (s *Server) Follow(ctx context.Context, req *connect.Request[handoverv1.FollowRequest], out *connect.ServerStream[handoverv1.FollowResponse]) error {
	a := s.find(ctx, ident.RequestID(req.Msg.GetRequestId()), req.Msg.GetForward())
	if a == nil {
		return connect.NewError(connect.CodeNotFound, errors.Newf("answer %q is not here", req.Msg.GetRequestId()))
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
