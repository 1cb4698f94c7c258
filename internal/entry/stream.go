package entry

import (
	"net/http"
	"time"

	"github.com/go-faster/jx"

	"github.com/jujubeshed/jujubeshed/api/gen/callers"
	"github.com/jujubeshed/jujubeshed/internal/answer"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// reconnectMS is the reconnection time sent to the caller of a stream that was handed
// over, in milliseconds.
const reconnectMS = "10"

// eventWriter writes an answer as server-sent events. It reuses one buffer, so that
// writing a token doesn't allocate.
type eventWriter struct {
	w   http.ResponseWriter
	rc  *http.ResponseController
	a   *answer.Answer
	buf []byte
	enc jx.Writer
}

// writeStream sends an answer as server-sent events until it ends or the caller
// disconnects.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, a *answer.Answer, reader *answer.Reader) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no")
	ew := &eventWriter{w: w, rc: http.NewResponseController(w), a: a}
	started := false
	for {
		segment := reader.Next()
		if !started && segment.End.Err != nil && segment.To == segment.From {
			// Nothing was sent yet: respond with a problem document instead of a stream.
			writeProblem(w, segment.End.Err)
			return
		}
		if segment.To > segment.From {
			started = true
		}
		if err := ew.writeSegment(segment); err != nil || segment.End.Done {
			return
		}
		select {
		case <-reader.Wake():
		case <-r.Context().Done():
			return
		}
	}
}

// writeSegment writes and flushes one segment of an answer, and the end event if the
// answer has ended.
func (ew *eventWriter) writeSegment(seg answer.Segment) error {
	ew.buf = ew.buf[:0]
	if seg.To > seg.From {
		ew.appendChunk(seg.To, seg.Text, "", nil)
	}
	if seg.End.Done {
		ew.appendEnd(seg)
	}
	if len(ew.buf) == 0 {
		return nil
	}
	if _, err := ew.w.Write(ew.buf); err != nil {
		return err
	}
	return ew.rc.Flush()
}

func (ew *eventWriter) appendEnd(seg answer.Segment) {
	switch {
	case seg.End.HandedOver:
		ew.buf = append(ew.buf, "retry: "+reconnectMS+"\nevent: moved\ndata: {}\n\n"...)
	case seg.End.Err != nil:
		ew.appendError(seg.End.Err)
	default:
		ew.appendChunk(seg.To, nil, seg.End.Reason, &seg.End.Usage)
		ew.buf = append(ew.buf, "data: [DONE]\n\n"...)
	}
}

func (ew *eventWriter) appendError(e *verdict.Error) {
	raw, err := problemOf(e).MarshalJSON()
	if err != nil {
		raw = []byte("{}")
	}
	ew.buf = append(ew.buf, "event: error\ndata: "...)
	ew.buf = append(ew.buf, raw...)
	ew.buf = append(ew.buf, "\n\n"...)
}

// appendChunk appends one chat.completion.chunk event.
func (ew *eventWriter) appendChunk(offset int, text []byte, reason string, u *answer.Usage) {
	ew.buf = append(ew.buf, "id: "...)
	ew.buf = appendEventID(ew.buf, ew.a.ID, offset)
	ew.buf = append(ew.buf, "\ndata: "...)
	e := &ew.enc
	e.Buf = ew.buf
	e.RawStr(`{"id":`)
	e.Str(string(ew.a.ID))
	e.RawStr(`,"object":"chat.completion.chunk","model":`)
	e.Str(ew.a.Model)
	e.RawStr(`,"choices":[{"index":0,"delta":{"content":`)
	e.ByteStr(text)
	e.RawStr(`},"finish_reason":`)
	if reason == "" {
		e.Null()
	} else {
		e.Str(reason)
	}
	e.RawStr(`}]`)
	if u != nil {
		appendUsage(e, u)
	}
	e.RawStr("}\n\n")
	ew.buf = e.Buf
}

func appendUsage(e *jx.Writer, u *answer.Usage) {
	e.RawStr(`,"usage":{"prompt_tokens":`)
	e.Int(u.PromptTokens)
	e.RawStr(`,"completion_tokens":`)
	e.Int(u.CompletionTokens)
	e.RawStr(`,"cached_tokens":`)
	e.Int(u.CachedTokens)
	e.RawStr(`}`)
}

// writeDocument waits for the end of an answer and writes it as one document. If the
// answer was handed over, it redirects the caller to the answer's URL, which any entry
// host serves.
func (s *Server) writeDocument(w http.ResponseWriter, r *http.Request, a *answer.Answer, reader *answer.Reader) {
	for {
		end := a.End()
		switch {
		case end.HandedOver:
			w.Header().Set("Location", PathAnswers+string(a.ID))
			w.Header().Set("X-Request-Id", string(a.ID))
			w.WriteHeader(http.StatusSeeOther)
			return
		case end.Err != nil:
			writeProblem(w, end.Err)
			return
		case end.Done:
			writeCompletion(w, a, end)
			return
		}
		select {
		case <-reader.Wake():
		case <-r.Context().Done():
			return
		}
	}
}

func writeCompletion(w http.ResponseWriter, a *answer.Answer, end answer.End) {
	doc := callers.ChatCompletion{
		ID:     string(a.ID),
		Object: "chat.completion",
		Model:  a.Model,
		Choices: []callers.Choice{{
			Message:      callers.Message{Role: callers.MessageRoleAssistant, Content: a.Text()},
			FinishReason: end.Reason,
		}},
	}
	doc.Usage.SetTo(callers.Usage{
		PromptTokens:     end.Usage.PromptTokens,
		CompletionTokens: end.Usage.CompletionTokens,
		CachedTokens:     callers.NewOptInt(end.Usage.CachedTokens),
	})
	raw, err := doc.MarshalJSON()
	if err != nil {
		writeProblem(w, verdict.Wrap(verdict.Ran, verdict.CodeUpstream, err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

// ExpireAnswers removes expired answers from the table and cancels running ones that
// have had no reader for abandonTimeout. Requests of the class long are never cancelled,
// as their callers may reconnect later.
func (s *Server) ExpireAnswers(now time.Time) {
	s.answers.Expire(now)
	for _, c := range s.chats.abandoned(now) {
		c.cancel()
	}
}
