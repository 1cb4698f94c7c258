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

// ChatJob is an accepted chat completion and the answer it grows.
type ChatCompletion struct {
	Request *Request
	Body    endpoint.ChatRequest
	Answer  *answer.Answer
	// Attempts made so far, at whatever node; it keeps attempt IDs unique.
	Attempts atomic.Int32
	// FirstToken is called when the first token is there; nil for nobody.
	OnFirstToken func()
}

// serveChat handles a chat completion: decode, admit, start, and follow the answer.
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

// start runs a job in the background; the caller's connection has no hold on it.
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
		invariant.Check(chat.Answer.End().Done, invariant.AcceptedFinishes, "request %s has no end", chat.Request.ID)
		s.metrics.finished(chat.Request, chat.Answer.End().Err)
	}()
}

// newJob decodes a chat completion.
func (s *Server) newChat(req *Request, body []byte) (*ChatCompletion, error) {
	var in callers.ChatCompletionRequest
	if err := in.UnmarshalJSON(body); err != nil {
		return nil, verdict.Wrap(verdict.NotRun, verdict.CodeBadRequest, errors.Wrap(err, "decode the chat completion"))
	}
	if err := in.Validate(); err != nil {
		return nil, verdict.Wrap(verdict.NotRun, verdict.CodeBadRequest, errors.Wrap(err, "check the chat completion"))
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

// seedOf derives the sampling seed of a request that names none, so that any
// node can go on with its stream. The top bit stays clear: the API's seed is signed.
func seedOf(id ident.RequestID) uint64 {
	return xxhash.Sum64String(string(id)) >> 1
}

// follow writes an answer from an offset on, in the caller's form.
func (s *Server) follow(w http.ResponseWriter, r *http.Request, a *answer.Answer, offset int, stream bool) {
	reader := a.Follow(offset)
	defer func() { reader.Close(time.Now()) }()
	if stream {
		s.writeStream(w, r, a, reader)
		return
	}
	s.writeDocument(w, r, a, reader)
}
