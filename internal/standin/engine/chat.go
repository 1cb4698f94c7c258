package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// defaultMaxTokens is the response length, in tokens, where a request sets no maximum.
const defaultMaxTokens = 64

// chat serves a chat completion as server-sent events with one token each.
func (e *Engine) chat(w http.ResponseWriter, req *http.Request) {
	var body endpoint.ChatRequest
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil || len(body.Messages) == 0 {
		refuse(w, http.StatusBadRequest, "malformed chat request")
		return
	}
	if body.MaxTokens <= 0 {
		body.MaxTokens = defaultMaxTokens
	}
	a := newAttempt(req, body)
	w.Header().Set(endpoint.HeaderAttemptID, string(a.attemptID))
	if !e.enqueue(a) {
		w.Header().Set("Retry-After", "1")
		refuse(w, http.StatusServiceUnavailable, "no capacity")
		return
	}
	defer e.finish(a)
	if !e.prefill(a) {
		http.Error(w, "cancelled", http.StatusConflict)
		return
	}
	f := e.faultsFor(a)
	if e.chance(f.FailRate) {
		e.countFailed()
		http.Error(w, "engine failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	s := &stream{w: w, rc: http.NewResponseController(w)}
	if e.chance(f.HiddenErrorRate) {
		e.countFailed()
		s.writeEvent([]byte(`{"error":{"code":500,"message":"engine failed"}}`))
		s.writeEvent([]byte("[DONE]"))
		return
	}
	e.generate(s, a)
}

// generate streams the tokens from the resume offset to the end of the response.
func (e *Engine) generate(s *stream, a *attempt) {
	due := time.Now()
	var postponed []byte // chunk to send after the next one
	for offset := a.body.ResumeOffset; offset < a.body.MaxTokens; offset++ {
		due = due.Add(e.tokenTime(a))
		if !sleep(a.ctx.Done(), time.Until(due)) || !e.waitWhileFrozen(a.ctx.Done()) {
			return
		}
		f := e.faultsFor(a)
		if f.CutAt > 0 && offset >= f.CutAt {
			panic(http.ErrAbortHandler)
		}
		if f.TruncateAt > 0 && offset >= f.TruncateAt {
			return
		}
		chunk := encodeChunk(a, offset, endpoint.Choice{Delta: endpoint.Delta{Content: a.tokens.At(offset)}}, nil)
		e.countToken(a, offset)
		if e.chance(f.CrossRate) {
			s.writeEvent(foreignChunk(a, offset))
		}
		if postponed == nil && e.chance(f.ReorderRate) {
			postponed = chunk
			continue
		}
		s.writeEvent(chunk)
		if postponed != nil || e.chance(f.DuplicateRate) {
			s.writeEvent(firstNonNil(postponed, chunk))
			postponed = nil
		}
	}
	if postponed != nil {
		s.writeEvent(postponed)
	}
	usage := &endpoint.Usage{
		PromptTokens:     endpoint.PromptTokens(a.prompt),
		CompletionTokens: a.body.MaxTokens,
		CachedTokens:     a.cachedTokens,
	}
	s.writeEvent(encodeChunk(a, a.body.MaxTokens, endpoint.Choice{FinishReason: "stop"}, usage))
	s.writeEvent([]byte("[DONE]"))
}

func encodeChunk(a *attempt, offset int, c endpoint.Choice, u *endpoint.Usage) []byte {
	b, err := json.Marshal(endpoint.ChatChunk{
		ID:      string(a.requestID),
		Attempt: a.attemptID,
		Model:   a.body.Model,
		Offset:  offset,
		Choices: []endpoint.Choice{c},
		Usage:   u,
	})
	if err != nil {
		panic(fmt.Sprintf("encode chunk: %v", err)) // impossible: the struct has plain fields only
	}
	return b
}

// foreignChunk returns a chunk with the IDs of another request.
func foreignChunk(a *attempt, offset int) []byte {
	other := *a
	other.requestID, other.attemptID = "other-"+a.requestID, "other-"+a.attemptID
	return encodeChunk(&other, offset, endpoint.Choice{Delta: endpoint.Delta{Content: "CROSSED "}}, nil)
}

func firstNonNil(a, b []byte) []byte {
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

func (s *stream) writeEvent(data []byte) {
	s.buf = append(append(append(s.buf[:0], "data: "...), data...), "\n\n"...)
	_, _ = s.w.Write(s.buf)
	_ = s.rc.Flush()
}

// refuse responds with an error and the verdict that the request was not run.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(verdict.Header, verdict.NotRun.String())
	http.Error(w, reason, status)
}
