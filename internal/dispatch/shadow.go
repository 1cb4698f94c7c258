package dispatch

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/entry"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/move"
	"github.com/jujubeshed/jujubeshed/internal/route"
)

// shadowSuffix is the suffix of a shadow copy's attempt ID.
const shadowSuffix = ".shadow"

// maxShadows is the maximum number of shadow copies in flight.
const maxShadows = 8

// shadowSender sends shadow copies: copies of requests to a version other than the one
// that responds to the caller. They provide evidence for a version move without a risk for
// callers. Their responses are discarded.
type shadowSender struct {
	sender *Sender
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	slots  chan struct{}
}

func newShadowSender(s *Sender) *shadowSender {
	ctx, cancel := context.WithCancel(context.Background())
	return &shadowSender{sender: s, ctx: ctx, cancel: cancel, slots: make(chan struct{}, maxShadows)}
}

func (h *shadowSender) stop() {
	h.cancel()
	h.wg.Wait()
}

// trySend sends a copy of an idempotent chat completion to another version if the version
// move requests it and fewer than maxShadows copies are in flight. answering is the
// version that responds to the caller.
func (h *shadowSender) trySend(p *picker, body *endpoint.ChatRequest, answering ident.Version) {
	if !p.request.Route.Idempotent {
		return
	}
	version, ok := h.sender.versions.Shadow(p.request.Service.Name, answering)
	if !ok {
		return
	}
	select {
	case h.slots <- struct{}{}:
	default:
		return
	}
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		defer func() { <-h.slots }()
		h.send(p.request, p.chain, p.promptTokens, *body, version)
	}()
}

// send runs one copy to its end and records the outcome as evidence.
func (h *shadowSender) send(r *entry.Request, chain []uint64, promptTokens int, body endpoint.ChatRequest, version ident.Version) {
	ctx, cancel := context.WithDeadline(h.ctx, r.Deadline)
	defer cancel()
	id := ident.AttemptID(string(r.ID) + shadowSuffix)
	c, err := h.sender.balancer.Dispatch(id, route.Request{
		Service: r.Service.Name, Class: ident.ClassLong, Shares: []route.Share{{Version: version, Weight: 1}},
		Chain: chain, PromptTokens: promptTokens, Deadline: r.Deadline,
	})
	if err != nil {
		return
	}
	p := &picker{sender: h.sender, request: r}
	body.Stream = true
	started := time.Now()
	first, size, err := h.read(ctx, c.Address, p.meta(id), &body)
	outcome := route.OutcomeOK
	result := move.OK
	switch {
	case ctx.Err() != nil || h.sender.balancer.IsLeaving(c.Endpoint):
		outcome, result = route.OutcomeNeutral, move.Excused
	case err != nil:
		outcome, result = route.OutcomeFault, move.Failed
	}
	h.sender.balancer.Finish(id, outcome)
	h.sender.versions.Record(move.Outcome{
		Service: r.Service.Name, Version: version, Route: r.Route.Name, Workspace: r.Workspace,
		Result: result, Latency: first.Sub(started), Size: size,
	})
}

// read reads the response to a copy to its end. It returns the arrival time of the first
// token and the number of tokens.
func (h *shadowSender) read(ctx context.Context, addr string, m endpoint.Meta, body *endpoint.ChatRequest) (first time.Time, size int, err error) {
	s, err := h.sender.client.Chat(ctx, addr, m, body)
	if err != nil {
		return time.Time{}, 0, err
	}
	defer s.Close()
	finished := false
	var ch endpoint.Chunk
	for {
		if err := s.Next(&ch); err != nil {
			return first, size, err
		}
		if first.IsZero() {
			first = time.Now()
		}
		switch {
		case ch.Done && finished:
			return first, size, nil
		case ch.Done:
			return first, size, io.ErrUnexpectedEOF
		case ch.FinishReason != "":
			finished = true
		default:
			size++
		}
	}
}
