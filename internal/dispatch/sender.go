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
	"github.com/jujubeshed/jujubeshed/internal/route"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Balancer chooses endpoints and learns how attempts end.
type Balancer interface {
	Dispatch(attempt ident.AttemptID, r route.Request) (route.Choice, error)
	Finish(attempt ident.AttemptID, o route.Outcome)
}

// Shares tells which versions of a service may get new work.
type Shares interface {
	Shares(service ident.Service) []route.Share
}

// maxAttempts bounds the attempts of one request.
const maxAttempts = 4

// Sender is the entry's sender.
type Sender struct {
	client   *endpoint.Client
	balancer Balancer
	shares   Shares
}

var _ entry.Sender = (*Sender)(nil)

// New returns a sender.
func New(client *endpoint.Client, balancer Balancer, shares Shares) *Sender {
	return &Sender{client: client, balancer: balancer, shares: shares}
}

func (s *Sender) routeRequest(r *entry.Request, tried []ident.EndpointID) route.Request {
	return route.Request{
		Service:  r.Service.Name,
		Class:    r.Route.Class,
		Shares:   s.shares.Shares(r.Service.Name),
		Exclude:  tried,
		Deadline: r.Deadline,
	}
}

// Chat produces an answer token by token; a stream that breaks is resumed at the
// next offset on another endpoint.
func (s *Sender) Chat(ctx context.Context, job *entry.ChatJob) {
	var tried []ident.EndpointID
	var last *verdict.Error
	text := endpoint.PromptText(job.Body.Messages)
	chain := endpoint.BlockChain(text)
	for n := range maxAttempts {
		rr := s.routeRequest(job.Request, tried)
		rr.Chain = chain
		rr.PromptTokens = endpoint.PromptTokens(text)
		c, err := s.balancer.Dispatch(attemptID(job.Request, n), rr)
		if err != nil {
			last = verdict.From(err)
			break
		}
		tried = append(tried, c.Endpoint)
		err = s.attempt(ctx, job, c, n)
		s.balancer.Finish(attemptID(job.Request, n), outcomeOf(ctx, err))
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

// outcomeOf tells what an attempt's error says about its endpoint.
func outcomeOf(ctx context.Context, err error) route.Outcome {
	switch {
	case err == nil:
		return route.OutcomeOK
	case ctx.Err() != nil:
		return route.OutcomeNeutral
	default:
		return route.OutcomeFault
	}
}

// attempt runs one attempt of a job; nil means that the answer has ended.
func (s *Sender) attempt(ctx context.Context, job *entry.ChatJob, c route.Choice, n int) error {
	body := job.Body
	body.Stream = true
	body.ResumeOffset = job.Answer.Len()
	body.PrefixText = job.Answer.Text()
	stream, err := s.client.Chat(ctx, c.Address, meta(job.Request, n), &body)
	if err != nil {
		return err
	}
	defer stream.Close()
	var ch endpoint.Chunk
	for {
		if err := stream.Next(&ch); err != nil {
			return verdict.Wrap(verdict.MayHaveRun, verdict.CodeUpstream, errors.Wrapf(err, "stream of %s", c.Endpoint))
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

func attemptID(r *entry.Request, n int) ident.AttemptID {
	return ident.AttemptID(string(r.ID) + "-" + strconv.Itoa(n))
}

func meta(r *entry.Request, n int) endpoint.Meta {
	return endpoint.Meta{
		Request:   r.ID,
		Attempt:   attemptID(r, n),
		Workspace: r.Workspace,
		Class:     r.Route.Class,
		Route:     r.Route.Name,
		Deadline:  r.Deadline,
	}
}

// Forward sends a plain request; it is sent again only where the verdict is
// NotRun or the route idempotent.
func (s *Sender) Forward(ctx context.Context, r *entry.Request, in *http.Request, body []byte) (*http.Response, error) {
	var tried []ident.EndpointID
	var last error
	for n := range maxAttempts {
		c, err := s.balancer.Dispatch(attemptID(r, n), s.routeRequest(r, tried))
		if err != nil {
			if last == nil {
				last = err
			}
			return nil, last
		}
		tried = append(tried, c.Endpoint)
		resp, err := s.send(ctx, r, c, n, in, body)
		s.balancer.Finish(attemptID(r, n), outcomeOf(ctx, err))
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

func (s *Sender) send(ctx context.Context, r *entry.Request, c route.Choice, n int, in *http.Request, body []byte) (*http.Response, error) {
	url := "http://" + c.Address + in.URL.RequestURI()
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
