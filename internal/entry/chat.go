package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/api/gen/callers"
	"github.com/jujubeshed/jujubeshed/internal/answer"
	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// ChatCompletion is an accepted chat completion and the answer that its tokens are
// appended to.
type ChatCompletion struct {
	Request *Request
	Body    endpoint.ChatRequest
	Answer  *answer.Answer
	// Attempts counts the attempts so far on all nodes. It keeps attempt IDs unique
	// across a handover.
	Attempts atomic.Int32
	// OnFirstToken, if not nil, is called when the first token arrives.
	OnFirstToken func()
}

// serveChat handles a chat completion: it decodes and admits the request, starts it,
// and sends the answer to the caller.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request, req *Request, body []byte) {
	chat, err := s.newChat(req, body)
	if err != nil {
		s.problem(w, req, err)
		return
	}
	release, err := s.gate.Acquire(r.Context(), req)
	if err != nil {
		s.problem(w, req, err)
		return
	}
	s.start(chat, release)
	s.follow(w, r, chat.Answer, 0, chat.Body.Stream)
}

// start runs a chat completion in the background. It continues when the caller's
// connection is closed.
func (s *Server) start(chat *ChatCompletion, release func()) {
	s.answers.Add(chat.Answer)
	ctx, cancel := context.WithDeadline(context.Background(), chat.Request.Deadline)
	s.chats.add(chat, cancel)
	s.metrics.accepted(chat.Request)
	chat.OnFirstToken = func() { s.metrics.firstToken(chat.Request) }
	go func() {
		defer cancel()
		defer release()
		defer s.chats.remove(chat.Request.ID)
		s.sender.Chat(ctx, chat)
		invariant.Check(chat.Answer.End().Done, invariant.AcceptedFinishes, "request %s returned without an end", chat.Request.ID)
		s.metrics.finished(chat.Request, chat.Answer.End().Err)
	}()
}

// newChat decodes and validates a chat completion request.
func (s *Server) newChat(req *Request, body []byte) (*ChatCompletion, error) {
	var in callers.ChatCompletionRequest
	if err := in.UnmarshalJSON(body); err != nil {
		return nil, verdict.Wrap(verdict.NotRun, verdict.CodeBadRequest, errors.Wrap(err, "decode the chat completion"))
	}
	if err := in.Validate(); err != nil {
		return nil, verdict.Wrap(verdict.NotRun, verdict.CodeBadRequest, errors.Wrap(err, "validate the chat completion"))
	}
	out := endpoint.ChatRequest{
		Model:     in.Model.Or(string(req.Service.Name)),
		MaxTokens: in.MaxTokens.Or(0),
		Stream:    in.Stream.Or(false),
		Seed:      uint64(in.Seed.Or(int64(seedOf(req.ID)))),
	}
	for _, m := range in.Messages {
		out.Messages = append(out.Messages, endpoint.Message{Role: string(m.Role), Content: m.Content})
	}
	a := answer.New(req.ID, req.Workspace, out.Model, out.Stream)
	return &ChatCompletion{Request: req, Body: out, Answer: a}, nil
}

// seedOf derives the sampling seed of a request that doesn't set one from its ID, so
// that every attempt samples the same tokens, also after a handover. The top bit is
// zero because the API's seed is signed.
func seedOf(id ident.RequestID) uint64 {
	return xxhash.Sum64String(string(id)) >> 1
}

// follow writes an answer, starting at offset, as a stream of events or as one document.
func (s *Server) follow(w http.ResponseWriter, r *http.Request, a *answer.Answer, offset int, stream bool) {
	reader := a.Follow(offset)
	defer func() { reader.Close(time.Now()) }()
	if stream {
		s.writeStream(w, r, a, reader)
		return
	}
	s.writeDocument(w, r, a, reader)
}
