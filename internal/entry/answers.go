package entry

import (
	"context"
	"net/http"
	"strings"

	"github.com/jujubeshed/jujubeshed/internal/answer"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Peers finds answers on other nodes and hands running chat completions over to them.
type Peers interface {
	// Find returns a local copy of the answer to a request that is stored on another
	// node. The copy starts at the first token and grows in the background. Find
	// returns nil if no node has the answer.
	Find(ctx context.Context, id ident.RequestID) (*answer.Answer, error)
	// HandOver transfers a running chat completion to another node, which continues it.
	HandOver(ctx context.Context, chat *ChatCompletion) error
}

// serveAnswer handles GET /v1/answers/ID. It writes the rest of an answer, which may be
// stored on any node.
func (s *Server) serveAnswer(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		writeProblem(w, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "method %s is not allowed for an answer; use GET", r.Method))
		return
	}
	id := ident.RequestID(strings.TrimPrefix(r.URL.Path, PathAnswers))
	offset, err := resumeOffset(r, id)
	if err != nil {
		writeProblem(w, verdict.From(err))
		return
	}
	a, err := s.findAnswer(r.Context(), id)
	if err != nil {
		writeProblem(w, verdict.From(err))
		return
	}
	if !s.owns(r, a) {
		writeProblem(w, unknownAnswer(id))
		return
	}
	w.Header().Set("X-Request-Id", string(id))
	s.follow(w, r, a, offset, wantsStream(r, a))
}

func wantsStream(r *http.Request, a *answer.Answer) bool {
	return a.Stream || strings.Contains(r.Header.Get("Accept"), "text/event-stream")
}

// resumeOffset returns the offset of the first token to send: the one after the event
// named by Last-Event-ID, or 0 without that header.
func resumeOffset(r *http.Request, id ident.RequestID) (int, error) {
	last := r.Header.Get("Last-Event-ID")
	if last == "" {
		return 0, nil
	}
	lastID, offset, ok := parseEventID(last)
	if !ok || lastID != id {
		return 0, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "Last-Event-ID %q is not an event of answer %q", last, id)
	}
	return offset, nil
}

// owns reports whether the answer belongs to the caller's workspace.
func (s *Server) owns(r *http.Request, a *answer.Answer) bool {
	cfg := s.config.Current()
	if cfg == nil {
		return false
	}
	w, ok := cfg.WorkspaceByKey(bearer(r))
	return ok && w.Name == a.Workspace
}

func (s *Server) findAnswer(ctx context.Context, id ident.RequestID) (*answer.Answer, error) {
	if a := s.answers.Get(id); a != nil && !a.End().HandedOver {
		return a, nil
	}
	a, err := s.peers.Find(ctx, id)
	if err != nil {
		return nil, err
	}
	if a == nil {
		return nil, unknownAnswer(id)
	}
	return a, nil
}

func unknownAnswer(id ident.RequestID) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeNotFound, "no entry host has an answer %q", id)
}
