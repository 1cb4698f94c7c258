package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// defaultMaxTokens is the length of an answer to a request without one.
const defaultMaxTokens = 64

// chat serves a chat completion as server-sent events, one token each.
func (e *Engine) chat(w http.ResponseWriter, req *http.Request) {
	var body endpoint.ChatRequest
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil || len(body.Messages) == 0 {
		refuse(w, http.StatusBadRequest, "malformed chat request")
		return
	}
	if body.MaxTokens <= 0 {
		body.MaxTokens = defaultMaxTokens
	}
	r := newRun(req, body)
	w.Header().Set(endpoint.HeaderAttemptID, string(r.attempt))
	if !e.enqueue(r) {
		w.Header().Set("Retry-After", "1")
		refuse(w, http.StatusServiceUnavailable, "no room")
		return
	}
	defer e.finish(r)
	if !e.prefill(r) {
		http.Error(w, "cancelled", http.StatusConflict)
		return
	}
	f := e.faultsFor(r)
	if e.chance(f.FailRate) {
		e.countFailed()
		http.Error(w, "engine failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	s := &stream{w: w, rc: http.NewResponseController(w)}
	if e.chance(f.HiddenErrorRate) {
		e.countFailed()
		s.line([]byte(`{"error":{"code":500,"message":"engine failed"}}`))
		s.line([]byte("[DONE]"))
		return
	}
	e.generate(s, r)
}

// generate streams the tokens from the resume offset to the end.
func (e *Engine) generate(s *stream, r *run) {
	due := time.Now()
	var held []byte // a chunk to send behind the next one
	for offset := r.body.ResumeOffset; offset < r.body.MaxTokens; offset++ {
		due = due.Add(e.tokenTime(r))
		if !sleep(r.ctx.Done(), time.Until(due)) || !e.thawed(r.ctx.Done()) {
			return
		}
		f := e.faultsFor(r)
		if f.CutAt > 0 && offset >= f.CutAt {
			panic(http.ErrAbortHandler)
		}
		if f.TruncateAt > 0 && offset >= f.TruncateAt {
			return
		}
		chunk := encode(r, offset, endpoint.Choice{Delta: endpoint.Delta{Content: r.tokens.At(offset)}}, nil)
		e.delivered(r, offset)
		if e.chance(f.CrossRate) {
			s.line(crossed(r, offset))
		}
		if held == nil && e.chance(f.ReorderRate) {
			held = chunk
			continue
		}
		s.line(chunk)
		if held != nil || e.chance(f.DuplicateRate) {
			s.line(firstOf(held, chunk))
			held = nil
		}
	}
	if held != nil {
		s.line(held)
	}
	usage := &endpoint.Usage{
		PromptTokens:     endpoint.PromptTokens(r.prompt),
		CompletionTokens: r.body.MaxTokens,
		CachedTokens:     r.cached,
	}
	s.line(encode(r, r.body.MaxTokens, endpoint.Choice{FinishReason: "stop"}, usage))
	s.line([]byte("[DONE]"))
}

func encode(r *run, offset int, c endpoint.Choice, u *endpoint.Usage) []byte {
	b, err := json.Marshal(endpoint.ChatChunk{
		ID:      string(r.request),
		Attempt: r.attempt,
		Model:   r.body.Model,
		Offset:  offset,
		Choices: []endpoint.Choice{c},
		Usage:   u,
	})
	if err != nil {
		panic(fmt.Sprintf("encode chunk: %v", err)) // a struct of plain fields
	}
	return b
}

// crossed returns a chunk of another request.
func crossed(r *run, offset int) []byte {
	other := *r
	other.request, other.attempt = "other-"+r.request, "other-"+r.attempt
	return encode(&other, offset, endpoint.Choice{Delta: endpoint.Delta{Content: "CROSSED "}}, nil)
}

func firstOf(a, b []byte) []byte {
	if a != nil {
		return a
	}
	return b
}

// stream writes server-sent events.
type stream struct {
	w   http.ResponseWriter
	rc  *http.ResponseController
	buf []byte
}

func (s *stream) line(data []byte) {
	s.buf = append(append(append(s.buf[:0], "data: "...), data...), "\n\n"...)
	_, _ = s.w.Write(s.buf)
	_ = s.rc.Flush()
}

// refuse answers that a request was not run.
func refuse(w http.ResponseWriter, status int, why string) {
	w.Header().Set(verdict.Header, verdict.NotRun.String())
	http.Error(w, why, status)
}
