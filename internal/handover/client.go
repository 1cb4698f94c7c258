package handover

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
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
	maxCandidates   = 4
	findTimeout     = time.Second
	handOverTimeout = 2 * time.Second
)

// Member is another node that can be called.
type Member struct {
	ID         ident.NodeID
	Address    string // of its peers' listener
	DataCentre ident.DataCentre
}

// Members lists live nodes, this one aside.
type Members interface {
	// Local returns the nodes of this data centre.
	Local() []Member
	// Delegates returns the nodes that speak for other data centres.
	Delegates() []Member
}

// Remote calls other nodes.
type PeerClient struct {
	log     *slog.Logger
	members Members
	http    *http.Client
}

var _ entry.Peers = (*PeerClient)(nil)

// NewRemote returns a Remote that calls through the client, which adds the shared key.
func NewPeerClient(log *slog.Logger, members Members, client *http.Client) *PeerClient {
	return &PeerClient{log: log, members: members, http: client}
}

func now() time.Time { return time.Now() }

// rank orders members for a request: the node that began it first, then by
// rendezvous hashing, on which all nodes agree.
func rank(id ident.RequestID, members []Member) []Member {
	origin := entry.OriginOf(id)
	byID := make(map[ident.NodeID]Member, len(members))
	ids := make([]ident.NodeID, 0, len(members))
	for _, m := range members {
		byID[m.ID] = m
		ids = append(ids, m.ID)
	}
	out := make([]Member, 0, len(members))
	if m, ok := byID[origin.Node]; ok {
		out = append(out, m)
	}
	for _, nid := range rendezvous.Rank(string(id), ids) {
		if nid != origin.Node {
			out = append(out, byID[nid])
		}
	}
	return out[:min(maxCandidates, len(out))]
}

// Find follows an answer at the node that holds it: one of this data centre, of
// the data centre that took the request in, or of those that a hand-over out of
// it chooses first.
func (c *PeerClient) Find(ctx context.Context, id ident.RequestID) (*answer.Answer, error) {
	if a := c.findLocal(ctx, id); a != nil {
		return a, nil
	}
	delegates := c.members.Delegates()
	origin := entry.OriginOf(id).DataCentre
	originNodes := slices.DeleteFunc(slices.Clone(delegates), func(m Member) bool { return m.DataCentre != origin })
	if a := c.findAt(ctx, id, rank(id, originNodes), true); a != nil {
		return a, nil
	}
	return c.findAt(ctx, id, rank(id, delegates), true), nil
}

func (c *PeerClient) findLocal(ctx context.Context, id ident.RequestID) *answer.Answer {
	return c.findAt(ctx, id, rank(id, c.members.Local()), false)
}

// findAt asks members in turn; nil where none has the answer.
func (c *PeerClient) findAt(ctx context.Context, id ident.RequestID, members []Member, forward bool) *answer.Answer {
	for _, m := range members {
		a, err := c.follow(ctx, m, id, forward)
		if err == nil {
			return a
		}
		if connect.CodeOf(err) != connect.CodeNotFound {
			c.log.Warn("handover: Node can't be asked for an answer.", "node", string(m.ID), "error", err)
		}
	}
	return nil
}

// follow opens the stream of one node and copies it in the background.
func (c *PeerClient) follow(ctx context.Context, m Member, id ident.RequestID, forward bool) (*answer.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	stop := time.AfterFunc(findTimeout, cancel)
	stream, err := c.clientFor(m).Follow(ctx, connect.NewRequest(&handoverv1.FollowRequest{RequestId: string(id), Forward: forward}))
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
	a.Close(now(), answer.End{HandedOver: true})
}

// HandOver offers a job to the nodes that Find asks, in the same order: those of
// this data centre, then those of others.
func (c *PeerClient) HandOver(ctx context.Context, chat *entry.ChatCompletion) error {
	text, ends := chat.Answer.Tokens()
	msg, err := chatToProto(chat, text, ends)
	if err != nil {
		return err
	}
	err = errors.Newf("no live node takes over %q", chat.Request.ID)
	id := chat.Request.ID
	for _, m := range append(rank(id, c.members.Local()), rank(id, c.members.Delegates())...) {
		callCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
		_, callErr := c.clientFor(m).HandOver(callCtx, connect.NewRequest(msg))
		cancel()
		if callErr == nil {
			return nil
		}
		err = errors.CombineErrors(err, errors.Wrapf(callErr, "node %q", m.ID))
	}
	return err
}

func (c *PeerClient) clientFor(m Member) handoverv1connect.AnswerServiceClient {
	return handoverv1connect.NewAnswerServiceClient(c.http, "http://"+m.Address)
}
