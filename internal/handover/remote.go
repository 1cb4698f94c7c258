package handover

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	handoverv1 "github.com/jujubeshed/jujubeshed/api/gen/handover/v1"
	"github.com/jujubeshed/jujubeshed/api/gen/handover/v1/handoverv1connect"
	"github.com/jujubeshed/jujubeshed/internal/answer"
	"github.com/jujubeshed/jujubeshed/internal/entry"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/rendezvous"
)

const (
	// candidates is how many nodes are asked for an answer, and offered a job.
	candidates      = 4
	findTimeout     = time.Second
	handOverTimeout = 2 * time.Second
)

// Member is another node that can be called.
type Member struct {
	ID      ident.NodeID
	Address string // of its peers' listener
}

// Members lists the live nodes, this one aside, that are not about to stop.
type Members interface {
	Live() []Member
}

// Remote calls other nodes.
type Remote struct {
	log     *slog.Logger
	members Members
	http    *http.Client
}

var _ entry.Remote = (*Remote)(nil)

// NewRemote returns a Remote that calls through the client, which adds the shared key.
func NewRemote(log *slog.Logger, members Members, client *http.Client) *Remote {
	return &Remote{log: log, members: members, http: client}
}

func now() time.Time { return time.Now() }

// ranked returns the members to ask for a request: the node that began it, then
// those that a hand-over chooses first.
func (r *Remote) ranked(id ident.RequestID) []Member {
	byID := make(map[ident.NodeID]Member)
	var ids []ident.NodeID
	for _, m := range r.members.Live() {
		byID[m.ID] = m
		ids = append(ids, m.ID)
	}
	var out []Member
	origin, ok := entry.Origin(id)
	if m, live := byID[origin]; ok && live {
		out = append(out, m)
	}
	for _, nid := range rendezvous.Rank(string(id), ids) {
		if nid != origin {
			out = append(out, byID[nid])
		}
	}
	return out[:min(candidates, len(out))]
}

// Find follows an answer at the node that holds it.
func (r *Remote) Find(ctx context.Context, id ident.RequestID) (*answer.Answer, error) {
	for _, m := range r.ranked(id) {
		a, err := r.follow(ctx, m, id)
		if err == nil {
			return a, nil
		}
		if connect.CodeOf(err) != connect.CodeNotFound {
			r.log.Warn("handover: Node can't be asked for an answer.", "node", string(m.ID), "error", err)
		}
	}
	return nil, nil
}

// follow opens the stream of one node and copies it in the background.
func (r *Remote) follow(ctx context.Context, m Member, id ident.RequestID) (*answer.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	stop := time.AfterFunc(findTimeout, cancel)
	stream, err := r.client(m).Follow(ctx, connect.NewRequest(&handoverv1.FollowRequest{RequestId: string(id)}))
	if err != nil {
		cancel()
		return nil, err
	}
	if !stream.Receive() {
		err := stream.Err()
		_ = stream.Close()
		cancel()
		if err == nil {
			err = errors.Newf("node %q ended the stream of %q at once", m.ID, id)
		}
		return nil, err
	}
	stop.Stop()
	head := stream.Msg().GetHead()
	a := answer.New(id, ident.Workspace(head.GetWorkspace()), head.GetModel(), head.GetStream())
	go func() {
		defer cancel()
		copyStream(a, stream)
	}()
	return a, nil
}

// copyStream copies a stream into an answer. A stream that breaks makes the
// answer count as moved: its caller asks again.
func copyStream(a *answer.Answer, stream *connect.ServerStreamForClient[handoverv1.FollowResponse]) {
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		msg := stream.Msg()
		if err := appendTokens(a, a.Len(), msg.GetText(), msg.GetTokenEnds()); err != nil {
			break
		}
		if msg.GetEnd() != nil {
			a.Close(now(), endFromProto(msg.GetEnd()))
			return
		}
	}
	a.Close(now(), answer.End{Moved: true})
}

// HandOver offers a job to the nodes that Find asks, in the same order.
func (r *Remote) HandOver(ctx context.Context, job *entry.ChatJob) error {
	text, ends := job.Answer.Tokens()
	msg, err := jobToProto(job, text, ends)
	if err != nil {
		return err
	}
	err = errors.Newf("no live node takes over %q", job.Request.ID)
	for _, m := range r.ranked(job.Request.ID) {
		callCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
		_, callErr := r.client(m).HandOver(callCtx, connect.NewRequest(msg))
		cancel()
		if callErr == nil {
			return nil
		}
		err = errors.CombineErrors(err, errors.Wrapf(callErr, "node %q", m.ID))
	}
	return err
}

func (r *Remote) client(m Member) handoverv1connect.AnswerServiceClient {
	return handoverv1connect.NewAnswerServiceClient(r.http, "http://"+m.Address)
}
