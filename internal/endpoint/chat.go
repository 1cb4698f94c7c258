package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-faster/jx"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// maxEventBytes bounds one server-sent event of an engine.
const maxEventBytes = 256 << 10

// Chunk is one decoded event of an engine's stream.
type Chunk struct {
	Request ident.RequestID
	Attempt ident.AttemptID
	Offset  int
	// Content is the text of one token, valid until the next call of Next.
	Content []byte
	// FinishReason is set on the last chunk, which has no content.
	FinishReason string
	Usage        Usage
	// Done is the end mark.
	Done bool
}

// ChatStream is the open stream of one attempt.
type ChatStream struct {
	body io.ReadCloser
	scan *bufio.Scanner
	dec  jx.Decoder
	text []byte
	id   []byte
	m    Meta
}

// Chat opens a stream at the engine of that address. Errors are *verdict.Error.
func (c *Client) Chat(ctx context.Context, addr string, m Meta, body *ChatRequest) (*ChatStream, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, verdict.CodeBadRequest, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+PathChat, bytes.NewReader(raw))
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, verdict.CodeUpstream, err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	m.Apply(req.Header, time.Now())
	resp, err := c.Do(ctx, req, m)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer closeBody(resp.Body)
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUpstream, "engine %s answered status %d: %s", addr, resp.StatusCode, detail)
	}
	scan := bufio.NewScanner(resp.Body)
	scan.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	return &ChatStream{body: resp.Body, scan: scan, m: m}, nil
}

// Close ends the stream; the engine sees that its caller has gone.
func (s *ChatStream) Close() {
	closeBody(s.body)
}

var (
	dataPrefix = []byte("data: ")
	doneMark   = []byte("[DONE]")
)

// Next reads the next chunk into ch. It returns io.ErrUnexpectedEOF where the
// stream ended without its end mark.
func (s *ChatStream) Next(ch *Chunk) error {
	for s.scan.Scan() {
		line := s.scan.Bytes()
		if !bytes.HasPrefix(line, dataPrefix) {
			continue
		}
		data := line[len(dataPrefix):]
		if bytes.Equal(data, doneMark) {
			s.drain()
			*ch = Chunk{Request: s.m.Request, Attempt: s.m.Attempt, Done: true}
			return nil
		}
		return s.decode(data, ch)
	}
	if err := s.scan.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// drain reads the end of the body behind the end mark: only a connection whose
// response was read whole is used again.
func (s *ChatStream) drain() {
	for s.scan.Scan() {
	}
}

func (s *ChatStream) decode(data []byte, ch *Chunk) error {
	*ch = Chunk{}
	s.text = s.text[:0]
	s.dec.ResetBytes(data)
	sawOffset := false
	err := s.dec.ObjBytes(func(d *jx.Decoder, key []byte) error {
		switch string(key) {
		case "id":
			id, err := s.same(d, string(s.m.Request))
			ch.Request = ident.RequestID(id)
			return err
		case "attempt":
			id, err := s.same(d, string(s.m.Attempt))
			ch.Attempt = ident.AttemptID(id)
			return err
		case "offset":
			sawOffset = true
			var err error
			ch.Offset, err = d.Int()
			return err
		case "choices":
			return d.Arr(func(d *jx.Decoder) error { return s.choice(d, ch) })
		case "usage":
			return usage(d, &ch.Usage)
		default:
			return d.Skip()
		}
	})
	if err != nil {
		return errors.Wrap(err, "engine's event")
	}
	if !sawOffset {
		return errors.Newf("engine's event has no offset: %.100s", data)
	}
	ch.Content = s.text
	return nil
}

// same decodes a string; where it equals want it returns want and allocates nothing.
func (s *ChatStream) same(d *jx.Decoder, want string) (string, error) {
	var err error
	s.id, err = d.StrAppend(s.id[:0])
	if err != nil || string(s.id) == want {
		return want, err
	}
	return string(s.id), nil
}

func (s *ChatStream) choice(d *jx.Decoder, ch *Chunk) error {
	return d.ObjBytes(func(d *jx.Decoder, key []byte) error {
		switch string(key) {
		case "delta":
			return d.ObjBytes(func(d *jx.Decoder, key []byte) error {
				if string(key) != "content" || d.Next() != jx.String {
					return d.Skip()
				}
				var err error
				s.text, err = d.StrAppend(s.text)
				return err
			})
		case "finish_reason":
			if d.Next() != jx.String {
				return d.Skip()
			}
			var err error
			ch.FinishReason, err = d.Str()
			return err
		default:
			return d.Skip()
		}
	})
}

func usage(d *jx.Decoder, u *Usage) error {
	if d.Next() != jx.Object {
		return d.Skip()
	}
	return d.ObjBytes(func(d *jx.Decoder, key []byte) error {
		var err error
		switch string(key) {
		case "prompt_tokens":
			u.PromptTokens, err = d.Int()
		case "completion_tokens":
			u.CompletionTokens, err = d.Int()
		case "cached_tokens":
			u.CachedTokens, err = d.Int()
		default:
			err = d.Skip()
		}
		return err
	})
}
