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
	// maxCandidates is the maximum number of nodes that are queried for an answer or
	// offered a handover, per list of members.
	maxCandidates   = 4
	findTimeout     = time.Second
	handoverTimeout = 2 * time.Second
	// maxMessageBytes limits a message of another node: the text of an answer.
	maxMessageBytes = 8 << 20
)

// Member is another node of the system.
type Member struct {
	ID         ident.NodeID
	Address    string // of its listener for other nodes
	DataCentre ident.DataCentre
}

// Members provides the live nodes except this one.
type Members interface {
	// Local returns the nodes of this data centre.
	Local() []Member
	// Delegates returns the nodes through which other data centres are reached.
	Delegates() []Member
}

// PeerClient finds answers on other nodes and hands chat completions over to them.
type PeerClient struct {
	log     *slog.Logger
	members Members
	http    *http.Client
}

var _ entry.Peers = (*PeerClient)(nil)

// NewPeerClient returns a PeerClient that sends its calls with client. The client has to
// authenticate them with the nodes' shared key.
func NewPeerClient(log *slog.Logger, members Members, client *http.Client) *PeerClient {
	return &PeerClient{log: log, members: members, http: client}
}

func now() time.Time { return time.Now() }

// rank returns the first maxCandidates members for a request: the node that accepted it,
// then the others in the order of rendezvous hashing, which is the same on all nodes.
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

// Find implements entry.Peers. It queries the nodes of this data centre, then the data
// centre that accepted the request, then those data centres that a handover tries first.
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

// findAt queries members one after the other and follows the answer on the first one that
// has it. It returns nil if none has. With forward set, each member also queries the nodes
// of its data centre.
func (c *PeerClient) findAt(ctx context.Context, id ident.RequestID, members []Member, forward bool) *answer.Answer {
	for _, m := range members {
		a, err := c.follow(ctx, m, id, forward)
		if err == nil {
			return a
		}
		if connect.CodeOf(err) != connect.CodeNotFound {
			c.log.Warn("handover: Querying a node for an answer failed.", "node", string(m.ID), "error", err)
		}
	}
	return nil
}

// follow opens a stream of an answer from one node and copies it in the background. The
// copy is cancelled when ctx is done.
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
			err = errors.Newf("node %q closed the stream of answer %q before the first message", m.ID, id)
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

// copyStream copies a stream into an answer. If the stream breaks, it ends the answer as
// handed over, so that the caller reconnects and searches for it again.
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

// HandOver implements entry.Peers. It offers the chat completion to the candidates of
// this data centre, then to those of other ones, in the order of rank, until one accepts.
func (c *PeerClient) HandOver(ctx context.Context, chat *entry.ChatCompletion) error {
	text, ends := chat.Answer.Tokens()
	msg, err := chatToProto(chat, text, ends)
	if err != nil {
		return err
	}
	err = errors.Newf("no live node accepted the handover of %q", chat.Request.ID)
	id := chat.Request.ID
	for _, m := range append(rank(id, c.members.Local()), rank(id, c.members.Delegates())...) {
		callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
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
	return handoverv1connect.NewAnswerServiceClient(c.http, "http://"+m.Address, connect.WithReadMaxBytes(maxMessageBytes))
}
