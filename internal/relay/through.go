package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	relayv1 "github.com/jujubeshed/jujubeshed/api/gen/relay/v1"
	"github.com/jujubeshed/jujubeshed/api/gen/relay/v1/relayv1connect"
	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/serve"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
	"github.com/jujubeshed/jujubeshed/internal/walltime"
)

// chooseRelays returns the nodes through which to send, in the order in which to try them.
func (t *Transport) chooseRelays(s ident.Service, homes site.Homes, n int) []string {
	nodes := t.opts.Nodes(s, homes)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mu.relays.Choose(time.Now(), t.mu.rng, nodes, n)
}

func (t *Transport) relayFailed(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.relays.Failed(time.Now(), address)
}

// sendRelayed sends an attempt through another node.
func (t *Transport) sendRelayed(ctx context.Context, a serve.Attempt) (*serve.Answer, error) {
	if len(a.Request.Body) > maxRequestBytes {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotSent, "no path to endpoint %q; a body of %d bytes is not relayed", a.Endpoint.ID, len(a.Request.Body)).After(noRelayRetryAfter)
	}
	err := error(verdict.New(verdict.NotRun, verdict.CodeNotSent, "no path to endpoint %q, and no other node that has one", a.Endpoint.ID).After(noRelayRetryAfter))
	for _, address := range t.chooseRelays(a.Endpoint.Service, a.Homes, maxTries) {
		if err := t.signals.MaySend(a.Endpoint, a.Kind()); err != nil {
			return nil, err
		}
		left := a.TimeLeft(walltime.SinceBoot())
		if err := mayRelay(ctx, a, left); err != nil {
			return nil, err
		}
		var answer *serve.Answer
		var tryNext bool
		if answer, tryNext, err = t.sendThrough(ctx, address, a, left); err == nil || !tryNext {
			return answer, err
		}
		if !errors.Is(err, errDoubtful) {
			t.relayFailed(address)
		}
	}
	return nil, err
}

// mayRelay returns an error if an attempt must not be relayed any more: its time is over, its
// caller has left, or this node stops before it would end.
func mayRelay(ctx context.Context, a serve.Attempt, left time.Duration) error {
	switch {
	case left <= 0 || ctx.Err() != nil:
		return verdict.New(verdict.NotRun, verdict.CodeNotSent, "deadline passed %s before the request was relayed", -left)
	case a.CallerGone != nil && a.CallerGone():
		return verdict.New(verdict.NotRun, verdict.CodeNotSent, "caller left before the request was relayed")
	}
	if a.MayStart != nil {
		if err := a.MayStart(); err != nil {
			return err
		}
	}
	return nil
}

// sendThroughShare sends an attempt through one of the nodes that have a share of its endpoint.
func (t *Transport) sendThroughShare(ctx context.Context, a serve.Attempt) (*serve.Answer, error) {
	a.SpendsShare = true
	if len(a.Request.Body) > maxRequestBytes {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotSent, "no share of endpoint %q; a body of %d bytes is not relayed", a.Endpoint.ID, len(a.Request.Body)).After(noShareRetryAfter)
	}
	nodes := t.opts.NodesNamed(a.Through, a.Homes)
	t.mu.Lock()
	nodes = t.mu.relays.Choose(time.Now(), t.mu.rng, nodes, maxTries)
	t.mu.Unlock()
	err := error(verdict.New(verdict.NotRun, verdict.CodeNotSent, "no node that has a share of endpoint %q can be reached", a.Endpoint.ID).After(noShareRetryAfter))
	for _, address := range nodes {
		left := a.TimeLeft(walltime.SinceBoot())
		if err := mayRelay(ctx, a, left); err != nil {
			return nil, err
		}
		var answer *serve.Answer
		var tryNext bool
		if answer, tryNext, err = t.sendThrough(ctx, address, a, left); err == nil || !tryNext {
			return answer, err
		}
		if neverConnected(err) {
			t.relayFailed(address)
		}
	}
	return nil, err
}

// errDoubtful marks the error of a node that could not connect to the endpoint: its own paths may be
// lost, or the endpoint may be down, so that the node is still used for others.
var errDoubtful = errors.New("the paths of the other node are in doubt")

// sendThrough sends an attempt through a node. tryNext reports whether it was not sent for a
// reason that lies with that node.
func (t *Transport) sendThrough(ctx context.Context, address string, a serve.Attempt, left time.Duration) (answer *serve.Answer, tryNext bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	meter := bytebudget.NewMeter(t.opts.Bodies) // of the message that is being read
	ctx = bytebudget.WithMeter(ctx, meter)
	defer func() {
		if answer == nil || answer.Events == nil {
			cancel()
			meter.Release()
		}
	}()
	stream, err := t.clientOf(address).Send(ctx, connect.NewRequest(encodeAttempt(a, left, t.opts.WallTime())))
	if err != nil {
		return nil, neverConnected(err), t.callError(err, address)
	}
	if !stream.Receive() {
		err := stream.Err()
		_ = stream.Close() // nothing more is read from it
		return nil, neverConnected(err), t.callError(err, address)
	}
	msg := stream.Msg()
	decodeStatements(msg.Statements).Apply(a.Endpoint, t.signals)
	if msg.Head == nil {
		_ = stream.Close() // the error was the last message
		t.relayed.WithLabelValues("refused").Inc()
		if msg.Error == nil {
			return nil, false, verdict.New(verdict.MayHaveRun, verdict.CodeRelay, "response through %s has neither head nor error", address)
		}
		err := decodeError(msg.Error)
		if msg.Error.PathsDoubtful && !msg.Error.PathsLost {
			err = errors.Mark(err, errDoubtful)
		}
		return nil, msg.Error.NotRun && (msg.Error.PathsLost || msg.Error.PathsDoubtful), err
	}
	t.relayed.WithLabelValues("response").Inc()
	answer = decodeHead(msg.Head)
	meter.Release() // the body is taken from the budget by itself
	if msg.Head.Stream {
		answer.Events = &relayedEvents{stream: stream, cancel: cancel, meter: meter}
		return answer, false, nil
	}
	_ = stream.Close() // the response is complete
	bytes := int64(len(answer.Body))
	if !t.opts.Bodies.Take(bytes) {
		return nil, false, verdict.Wrap(verdict.MayHaveRun, verdict.CodeRelay, bytebudget.ErrExhausted)
	}
	answer.Release = sync.OnceFunc(func() { t.opts.Bodies.Return(bytes) })
	return answer, false, nil
}

// neverConnected reports whether a call failed before anything was sent.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// callError returns the error of an attempt whose call to another node failed.
func (t *Transport) callError(err error, address string) error {
	t.relayed.WithLabelValues("failed").Inc()
	if err == nil {
		err = errors.New("no response")
	}
	if neverConnected(err) {
		return verdict.Wrap(verdict.NotRun, verdict.CodeNotSent, errors.Wrapf(err, "relay through %s", address))
	}
	return verdict.Wrap(verdict.MayHaveRun, verdict.CodeRelay, errors.Wrapf(err, "relay through %s", address))
}

func (t *Transport) clientOf(address string) relayv1connect.RelayServiceClient {
	return relayv1connect.NewRelayServiceClient(t.client, "http://"+address, connect.WithReadMaxBytes(maxResponseBytes))
}

// relayedEvents are the events of a stream that another node passes on.
type relayedEvents struct {
	stream *connect.ServerStreamForClient[relayv1.SendResponse]
	cancel context.CancelFunc
	meter  *bytebudget.Meter // of the event that is being read
	err    error             // after the last event
}

// Next implements serve.Events.
func (e *relayedEvents) Next() (serve.Event, error) {
	if e.err != nil {
		return serve.Event{}, e.err
	}
	received := e.stream.Receive()
	e.meter.Release()
	if !received {
		e.err = verdict.Wrap(verdict.MayHaveRun, verdict.CodeRelay, errors.CombineErrors(errors.New("relayed stream ended without its end"), e.stream.Err()))
		return serve.Event{}, e.err
	}
	msg := e.stream.Msg()
	if msg.End == nil {
		return serve.Event{ID: int(msg.Number), Raw: msg.Event}, nil
	}
	e.err = endOf(msg.End)
	return serve.Event{}, e.err
}

// Close implements serve.Events. It ends the call, and with it the request at its endpoint.
func (e *relayedEvents) Close() {
	e.cancel()
	_ = e.stream.Close() // reads what has arrived
	e.meter.Release()
}

// Migrate implements serve.Transport. A call that certainly was not sent, for a reason that lies with
// this node or the one that relays it, is made through the next one.
func (t *Transport) Migrate(ctx context.Context, m serve.Migration) (*serve.KVCopy, error) {
	if !t.pathsLost(m.From.Service) {
		kvCopy, err := t.Transport.Migrate(ctx, m)
		if err == nil || kvCopy != nil || !notConnected(err) || !t.pathsDoubtful(m.From.Service) {
			return kvCopy, err
		}
	}
	err := error(verdict.New(verdict.NotRun, verdict.CodeNotSent, "no path to endpoint %q, and no other node that has one", m.From.ID))
	for _, address := range t.chooseRelays(m.From.Service, nil, maxTries) { // the call has no body
		resp, callErr := t.clientOf(address).Migrate(ctx, connect.NewRequest(encodeMigration(ctx, m, t.opts.WallTime())))
		if callErr != nil {
			err = t.callError(callErr, address)
			if !neverConnected(callErr) {
				return nil, err
			}
			t.relayFailed(address)
			continue
		}
		if err = decodeError(resp.Msg.Error); resp.Msg.Copy != nil || !notSent(err) {
			return decodeKVCopy(resp.Msg.Copy), err
		}
		t.relayFailed(address)
	}
	return nil, err
}

// notSent reports whether a call was not sent for a reason that lies with the sender.
func notSent(err error) bool {
	if err == nil {
		return false
	}
	v := verdict.From(err)
	return v.Verdict == verdict.NotRun && v.Code == verdict.CodeNotSent
}

// Probe implements serve.Transport. A refusal counts only if another node is refused, too: it may
// come from a partition of this node.
func (t *Transport) Probe(ctx context.Context, e site.Endpoint) serve.Reachability {
	own := t.Transport.Probe(ctx, e)
	if own == serve.Connected || own == serve.NoAnswer && !t.pathsLost(e.Service) {
		return own
	}
	for _, address := range t.chooseRelays(e.Service, nil, 1) {
		resp, err := t.clientOf(address).Probe(ctx, connect.NewRequest(&relayv1.ProbeRequest{Endpoint: encodeEndpoint(e)}))
		switch {
		case err != nil:
			t.relayFailed(address)
		case resp.Msg.Connected:
			return serve.Connected
		case resp.Msg.Refused:
			return serve.Refused
		default:
			return serve.NoAnswer
		}
	}
	return own
}
