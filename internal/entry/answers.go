package entry

import (
	"context"
	"net/http"
	"strings"

	"github.com/jujubeshed/jujubeshed/internal/answer"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Remote reaches answers that other nodes hold.
type Peers interface {
	// Find follows the answer to a request at the node that holds it, from its
	// first token, into a local copy. It returns nil where no node has it.
	Find(ctx context.Context, id ident.RequestID) (*answer.Answer, error)
	// HandOver gives a running job to another node, which goes on with it.
	HandOver(ctx context.Context, chat *ChatCompletion) error
}

// serveAnswer handles GET /v1/answers/ID: the rest of an answer, wherever it is.
func (s *Server) serveAnswer(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		writeProblem(w, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "an answer is fetched with GET, not %s", r.Method))
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

// resumeOffset returns the offset to go on from.
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

// owns tells whether the caller's workspace is the one that the answer belongs to.
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
	return verdict.New(verdict.MayHaveRun, verdict.CodeNotFound, "no entry host holds an answer %q", id)
}
