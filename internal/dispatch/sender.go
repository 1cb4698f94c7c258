// Package dispatch sends accepted requests to endpoints: it chooses one, follows
// the answer, and goes on elsewhere where the verdict allows it.
package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/answer"
	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/entry"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Target is a chosen endpoint.
type Target struct {
	Endpoint ident.EndpointID
	Address  string
	Version  ident.Version
}

// Picker chooses endpoints.
type Picker interface {
	// Pick chooses an endpoint for the request that is not in tried. The error is
	// a *verdict.Error with verdict NotRun.
	Pick(r *entry.Request, tried map[ident.EndpointID]bool) (Target, error)
}

// maxAttempts bounds the attempts of one request.
const maxAttempts = 4

// Sender is the entry's sender.
type Sender struct {
	client *endpoint.Client
	picker Picker
}

var _ entry.Sender = (*Sender)(nil)

// New returns a sender.
func New(client *endpoint.Client, picker Picker) *Sender {
	return &Sender{client: client, picker: picker}
}

// Chat produces an answer token by token; a stream that breaks is resumed at the
// next offset on another endpoint.
func (s *Sender) Chat(ctx context.Context, job *entry.ChatJob) {
	tried := make(map[ident.EndpointID]bool)
	var last *verdict.Error
	for n := range maxAttempts {
		t, err := s.picker.Pick(job.Request, tried)
		if err != nil {
			last = verdict.From(err)
			break
		}
		tried[t.Endpoint] = true
		err = s.attempt(ctx, job, t, n)
		if err == nil {
			return
		}
		last = verdict.From(err)
		if ctx.Err() != nil {
			break
		}
	}
	job.Answer.Close(time.Now(), answer.End{Err: last})
}

// attempt runs one attempt of a job; nil means that the answer has ended.
func (s *Sender) attempt(ctx context.Context, job *entry.ChatJob, t Target, n int) error {
	body := job.Body
	body.Stream = true
	body.ResumeOffset = job.Answer.Len()
	body.PrefixText = job.Answer.Text()
	stream, err := s.client.Chat(ctx, t.Address, meta(job.Request, n), &body)
	if err != nil {
		return err
	}
	defer stream.Close()
	var ch endpoint.Chunk
	for {
		if err := stream.Next(&ch); err != nil {
			return verdict.Wrap(verdict.MayHaveRun, verdict.CodeUpstream, errors.Wrapf(err, "stream of %s", t.Endpoint))
		}
		switch {
		case ch.Done:
			return nil
		case ch.FinishReason != "":
			u := answer.Usage{PromptTokens: ch.Usage.PromptTokens, CompletionTokens: job.Answer.Len(), CachedTokens: ch.Usage.CachedTokens}
			job.Answer.Close(time.Now(), answer.End{Reason: ch.FinishReason, Usage: u})
		default:
			job.Answer.Append(ch.Offset, ch.Content)
		}
	}
}

func meta(r *entry.Request, n int) endpoint.Meta {
	return endpoint.Meta{
		Request:   r.ID,
		Attempt:   ident.AttemptID(string(r.ID) + "-" + strconv.Itoa(n)),
		Workspace: r.Workspace,
		Class:     r.Route.Class,
		Route:     r.Route.Name,
		Deadline:  r.Deadline,
	}
}

// Forward sends a plain request; it is sent again only where the verdict is
// NotRun or the route idempotent.
func (s *Sender) Forward(ctx context.Context, r *entry.Request, in *http.Request, body []byte) (*http.Response, error) {
	tried := make(map[ident.EndpointID]bool)
	var last error
	for n := range maxAttempts {
		t, err := s.picker.Pick(r, tried)
		if err != nil {
			if last == nil {
				last = err
			}
			return nil, last
		}
		tried[t.Endpoint] = true
		resp, err := s.send(ctx, r, t, n, in, body)
		if err == nil {
			return resp, nil
		}
		last = err
		again := r.Route.Idempotent || verdict.Of(err) == verdict.NotRun
		if !again || ctx.Err() != nil {
			return nil, last
		}
	}
	return nil, last
}

func (s *Sender) send(ctx context.Context, r *entry.Request, t Target, n int, in *http.Request, body []byte) (*http.Response, error) {
	url := "http://" + t.Address + in.URL.RequestURI()
	req, err := http.NewRequestWithContext(ctx, in.Method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, verdict.CodeBadRequest, err)
	}
	req.ContentLength = int64(len(body))
	req.Header = entry.OutgoingHeader(in.Header)
	m := meta(r, n)
	m.Apply(req.Header, time.Now())
	return s.client.Do(ctx, req, m)
}
