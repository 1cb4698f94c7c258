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

// maxEventBytes is the maximum size of one server-sent event of an engine.
const maxEventBytes = 256 << 10

// maxTrailingBytes is the number of bytes after the end-of-stream marker that are read.
const maxTrailingBytes = 4 << 10

// maxIgnoredBytes is the number of bytes between two events that are ignored, such as comments.
const maxIgnoredBytes = maxEventBytes

// Chunk is one decoded event of an engine's stream.
type Chunk struct {
	Request ident.RequestID
	Attempt ident.AttemptID
	Offset  int
	// Content is the text of one token. It is valid until the next call to Next.
	Content []byte
	// FinishReason is set on the last chunk, which has no content.
	FinishReason string
	Usage        Usage
	// Done is set for the marker that ends the stream; the chunk then has no content.
	Done bool
}

// ChatStream is the open response stream of one attempt.
type ChatStream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	dec     jx.Decoder
	text    []byte // buffer of Chunk.Content, reused
	id      []byte // buffer for decoding IDs, reused
	meta    Meta
}

// Chat sends a chat completion request to the engine at addr and returns the
// response stream. Errors are of type *verdict.Error.
func (c *Client) Chat(ctx context.Context, addr string, meta Meta, body *ChatRequest) (*ChatStream, error) {
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
	meta.Apply(req.Header, time.Now())
	resp, err := c.Do(ctx, req, meta)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer closeBody(resp.Body)
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUpstream, "engine %s returned status %d: %s", addr, resp.StatusCode, detail)
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	return &ChatStream{body: resp.Body, scanner: scanner, meta: meta}, nil
}

// Close closes the response body. On an unfinished stream this closes the
// connection, by which the engine detects that the client has gone.
func (s *ChatStream) Close() {
	closeBody(s.body)
}

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// Next reads the next chunk into ch. It returns io.ErrUnexpectedEOF if the stream
// ended without the end-of-stream marker.
func (s *ChatStream) Next(ch *Chunk) error {
	for ignored := 0; s.scanner.Scan(); {
		line := s.scanner.Bytes()
		if !bytes.HasPrefix(line, dataPrefix) {
			if ignored += len(line) + 1; ignored > maxIgnoredBytes {
				return errors.Newf("engine sent more than %d bytes that are no event", maxIgnoredBytes)
			}
			continue
		}
		data := line[len(dataPrefix):]
		if bytes.Equal(data, doneMarker) {
			s.readToEnd()
			*ch = Chunk{Request: s.meta.Request, Attempt: s.meta.Attempt, Done: true}
			return nil
		}
		return s.decode(data, ch)
	}
	if err := s.scanner.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// readToEnd reads the rest of the body after the end-of-stream marker: a connection
// is reused only if its response was read to the end. An engine that goes on sending does not
// hold up the end of the stream.
func (s *ChatStream) readToEnd() {
	for left := maxTrailingBytes; left > 0 && s.scanner.Scan(); {
		left -= len(s.scanner.Bytes()) + 1
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
			id, err := s.decodeExpected(d, string(s.meta.Request))
			ch.Request = ident.RequestID(id)
			return err
		case "attempt":
			id, err := s.decodeExpected(d, string(s.meta.Attempt))
			ch.Attempt = ident.AttemptID(id)
			return err
		case "offset":
			sawOffset = true
			var err error
			ch.Offset, err = d.Int()
			return err
		case "choices":
			return d.Arr(func(d *jx.Decoder) error { return s.decodeChoice(d, ch) })
		case "usage":
			return decodeUsage(d, &ch.Usage)
		default:
			return d.Skip()
		}
	})
	if err != nil {
		return errors.Wrap(err, "decode engine event")
	}
	if !sawOffset {
		return errors.Newf("engine event has no offset: %.100s", data)
	}
	ch.Content = s.text
	return nil
}

// decodeExpected decodes a string. If it equals want, want is returned without an
// allocation.
func (s *ChatStream) decodeExpected(d *jx.Decoder, want string) (string, error) {
	var err error
	s.id, err = d.StrAppend(s.id[:0])
	if err != nil || string(s.id) == want {
		return want, err
	}
	return string(s.id), nil
}

func (s *ChatStream) decodeChoice(d *jx.Decoder, ch *Chunk) error {
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

func decodeUsage(d *jx.Decoder, u *Usage) error {
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
