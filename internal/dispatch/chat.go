package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/answer"
	"github.com/jujubeshed/jujubeshed/internal/attempt"
	"github.com/jujubeshed/jujubeshed/internal/attempt/runner"
	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/entry"
)

// kvTransferTimeout is the timeout for the export and import of a KV cache together.
const kvTransferTimeout = 3 * time.Second

// chatDispatch runs one chat completion: it opens streams to engines and appends their
// tokens to the answer.
type chatDispatch struct {
	picker    picker
	chat      *entry.ChatCompletion
	lastUsage atomic.Pointer[endpoint.Usage] // reported with the last finish reason; nil before
}

var (
	_ runner.Dialer = (*chatDispatch)(nil)
	_ runner.Sink   = (*chatDispatch)(nil)
)

// Open starts an attempt at an engine, after importing the KV cache of an earlier attempt
// if the call has one. It offers the first attempt as a shadow copy.
func (c *chatDispatch) Open(ctx context.Context, call runner.Call) (runner.Stream, error) {
	if c.chat.Attempts.Add(1) == 1 {
		c.picker.sender.shadows.trySend(&c.picker, &c.chat.Body, call.Choice.Version)
	}
	if call.Import.Endpoint != "" {
		c.transferKV(ctx, call)
	}
	body := c.chat.Body
	body.Stream = true
	body.ResumeOffset = call.Dispatch.ResumeOffset
	body.PrefixText = call.Dispatch.PrefixText
	client := c.picker.sender.client
	guard := newProbingGuard(ctx, c.picker.sender.opts.StallTimeout, firstByteTimeout(c.picker.request.Deadline), func(ctx context.Context) error {
		_, err := client.Load(ctx, call.Choice.Address)
		return err
	})
	s, err := client.Chat(guard.ctx, call.Choice.Address, c.picker.meta(call.Dispatch.Attempt), &body)
	if err != nil {
		err = guard.describeStall(err)
		guard.stop()
		return nil, err
	}
	return &chatStream{dispatch: c, stream: s, guard: guard}, nil
}

// transferKV copies the KV cache of an earlier attempt to the engine of this one. Errors
// are ignored, as the engine then computes the KV cache again.
func (c *chatDispatch) transferKV(ctx context.Context, call runner.Call) {
	ctx, cancel := context.WithTimeout(ctx, kvTransferTimeout)
	defer cancel()
	client := c.picker.sender.client
	blob, err := client.ExportKV(ctx, call.Import.Address, endpoint.KVExportRequest{Attempt: call.Dispatch.ImportFrom})
	if err == nil {
		_ = client.ImportKV(ctx, call.Choice.Address, blob)
	}
}

// Tokens appends tokens to the answer; offset is that of the first one.
func (c *chatDispatch) Tokens(offset int, tokens []string) error {
	if offset == 0 && c.chat.OnFirstToken != nil {
		c.chat.OnFirstToken()
	}
	for i, tok := range tokens {
		c.chat.Answer.Append(offset+i, []byte(tok))
	}
	return nil
}

// Response is never called, as engines respond with streams.
func (c *chatDispatch) Response(int, any) error { return nil }

func (c *chatDispatch) usage(tokens int) answer.Usage {
	u := answer.Usage{CompletionTokens: tokens}
	if lastUsage := c.lastUsage.Load(); lastUsage != nil {
		u.PromptTokens, u.CachedTokens = lastUsage.PromptTokens, lastUsage.CachedTokens
	}
	return u
}

// chatStream converts an engine's chunks to frames.
type chatStream struct {
	dispatch *chatDispatch
	stream   *endpoint.ChatStream
	guard    *stallGuard
	chunk    endpoint.Chunk
	// frames are used alternately: the runner doesn't use a frame any more once it
	// receives the next one.
	frames [2]chatFrame
	next   int
}

// chatFrame is the reusable memory of one frame.
type chatFrame struct {
	chunk attempt.Chunk
	token [1]string
}

// Recv returns the next frame and restarts the stall timeout.
func (s *chatStream) Recv() (runner.Frame, error) {
	if err := s.stream.Next(&s.chunk); err != nil {
		return runner.Frame{}, s.guard.describeStall(err)
	}
	s.guard.reset(s.dispatch.picker.sender.opts.StallTimeout)
	if s.chunk.Done {
		return runner.Frame{End: true}, nil
	}
	f := &s.frames[s.next]
	s.next = 1 - s.next
	c := &f.chunk
	*c = attempt.Chunk{
		Echo:   attempt.Echo{Request: s.chunk.Request, Attempt: s.chunk.Attempt},
		Offset: s.chunk.Offset,
		Finish: s.chunk.FinishReason,
	}
	if len(s.chunk.Content) > 0 || s.chunk.FinishReason == "" {
		f.token[0] = string(s.chunk.Content)
		c.Tokens = f.token[:]
	}
	if s.chunk.FinishReason != "" {
		usage := s.chunk.Usage // copied, as the chunk is reused
		s.dispatch.lastUsage.Store(&usage)
		s.dispatch.picker.size.Store(int64(s.chunk.Usage.CompletionTokens))
		c.Total = s.chunk.Usage.CompletionTokens
	}
	return runner.Frame{Chunk: c}, nil
}

// Close closes the stream, also if it has not ended; the engine then sees a disconnect.
func (s *chatStream) Close() error {
	s.guard.stop()
	s.stream.Close()
	return nil
}
