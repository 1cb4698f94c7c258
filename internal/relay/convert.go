package relay

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	relayv1 "github.com/jujubeshed/jujubeshed/api/gen/relay/v1"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/serve"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

func encodeEndpoint(e site.Endpoint) *relayv1.Endpoint {
	return &relayv1.Endpoint{
		Id: string(e.ID), Service: string(e.Service), Address: e.Address, Started: e.Started.UnixMilli(),
		DataCentre: string(e.DataCentre), Version: string(e.Version),
	}
}

func decodeEndpoint(msg *relayv1.Endpoint) site.Endpoint {
	return site.Endpoint{
		ID: ident.EndpointID(msg.GetId()), Service: ident.Service(msg.GetService()), Address: msg.GetAddress(), Started: time.UnixMilli(msg.GetStarted()),
		DataCentre: ident.DataCentre(msg.GetDataCentre()), Version: ident.Version(msg.GetVersion()),
	}
}

func encodeHeader(h http.Header) []*relayv1.Header {
	out := make([]*relayv1.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &relayv1.Header{Name: name, Values: values})
	}
	return out
}

func decodeHeader(list []*relayv1.Header) http.Header {
	out := make(http.Header, len(list))
	for _, h := range list {
		out[h.Name] = h.Values
	}
	return out
}

func encodeKVCopy(c *serve.KVCopy) *relayv1.KVCopy {
	if c == nil {
		return nil
	}
	return &relayv1.KVCopy{Source: c.Source, Handle: c.Handle}
}

func decodeKVCopy(msg *relayv1.KVCopy) *serve.KVCopy {
	if msg == nil {
		return nil
	}
	return &serve.KVCopy{Source: msg.Source, Handle: msg.Handle}
}

// encodeAttempt encodes an attempt with the time that is left for it. wallTime is the time of
// day.
func encodeAttempt(a serve.Attempt, left time.Duration, wallTime time.Time) *relayv1.SendRequest {
	r := a.Request
	return &relayv1.SendRequest{
		Endpoint: encodeEndpoint(a.Endpoint), Request: string(r.ID), Method: r.Method, Target: r.Target, Host: r.Host,
		Header: encodeHeader(r.Header), Body: r.Body, Workspace: string(a.Workspace),
		RemainingMs: uint32(max(left.Milliseconds(), 0)), Deadline: wallTime.Add(left).UnixMilli(), Priority: int32(a.Priority), After: int32(a.After),
		Stream: a.Stream, Generation: len(r.Prompt.Segments) > 0, FetchFrom: a.FetchFrom, Import: encodeKVCopy(a.Import), SpendsShare: a.SpendsShare,
	}
}

// clockTolerance is how far the clocks of two nodes may differ.
const clockTolerance = 250 * time.Millisecond

// decodeAttempt decodes an attempt that was received at the given times: of this host, since its
// boot, and of day.
func decodeAttempt(msg *relayv1.SendRequest, now time.Time, sinceBoot time.Duration, wallTime time.Time) serve.Attempt {
	left := time.Duration(msg.RemainingMs) * time.Millisecond
	left = min(left, time.UnixMilli(msg.Deadline).Sub(wallTime)+clockTolerance)
	r := &serve.Request{
		ID: ident.RequestID(msg.Request), Method: msg.Method, Target: msg.Target, Host: msg.Host, Header: decodeHeader(msg.Header), Body: msg.Body,
		Arrived: now, ArrivedSinceBoot: sinceBoot,
	}
	if msg.Generation {
		r.Prompt.Segments = make([]placement.PromptSegment, 1) // only its presence counts
	}
	return serve.Attempt{
		Request: r, Endpoint: decodeEndpoint(msg.Endpoint), Workspace: ident.Workspace(msg.Workspace), Deadline: now.Add(left),
		Priority: int(msg.Priority), After: int(msg.After), Stream: msg.Stream, FetchFrom: msg.FetchFrom, Import: decodeKVCopy(msg.Import),
		SpendsShare: msg.SpendsShare, Statements: new(serve.Statements),
	}
}

func encodeError(err error) *relayv1.Error {
	if err == nil {
		return nil
	}
	v := verdict.From(err)
	return &relayv1.Error{
		NotRun: v.Verdict == verdict.NotRun, Code: string(v.Code), RetryAfterMs: v.RetryAfter.Milliseconds(), Cause: v.Cause.Error(),
		BrokenOff: errors.Is(err, serve.ErrBrokenOff),
	}
}

// decodeError decodes the error of an attempt that another node has made.
func decodeError(msg *relayv1.Error) error {
	if msg == nil {
		return nil
	}
	v := verdict.MayHaveRun
	if msg.NotRun {
		v = verdict.NotRun
	}
	err := error(verdict.New(v, verdict.Code(msg.Code), "relayed: %s", msg.Cause).After(time.Duration(msg.RetryAfterMs) * time.Millisecond))
	if msg.BrokenOff {
		err = errors.Mark(err, serve.ErrBrokenOff)
	}
	return err
}

func encodeStatements(s serve.Statements) *relayv1.Statements {
	if s == (serve.Statements{}) {
		return nil
	}
	return &relayv1.Statements{
		Leaving: s.Leaving, BackOffMs: s.BackOff.Milliseconds(), LimitStated: s.LimitStated, LimitNamed: s.Limit.Named, PerSecond: s.Limit.PerSecond,
		Brittle: s.Limit.Brittle, MaxRefusals: s.Limit.MaxRefusals,
		SentBeforeMs: time.Since(s.Limit.Sent).Milliseconds(),
	}
}

func decodeStatements(msg *relayv1.Statements) serve.Statements {
	if msg == nil {
		return serve.Statements{}
	}
	return serve.Statements{
		Leaving: msg.Leaving, BackOff: time.Duration(msg.BackOffMs) * time.Millisecond, LimitStated: msg.LimitStated,
		Limit: serve.EndpointLimit{Named: msg.LimitNamed, PerSecond: msg.PerSecond, Brittle: msg.Brittle, MaxRefusals: msg.MaxRefusals, Sent: time.Now().Add(-time.Duration(msg.SentBeforeMs) * time.Millisecond)},
	}
}

func encodeHead(a *serve.Answer) *relayv1.Head {
	h := &relayv1.Head{Status: int32(a.Head.Status), Header: encodeHeader(a.Head.Header), Body: a.Body, Stream: a.Events != nil}
	if a.Load.Known {
		h.Load = &relayv1.Load{Running: int32(a.Load.Running), Waiting: int32(a.Load.Waiting), Slots: int32(a.Load.Slots)}
	}
	return h
}

func decodeHead(msg *relayv1.Head) *serve.Answer {
	a := &serve.Answer{Head: serve.Head{Status: int(msg.Status), Header: decodeHeader(msg.Header)}, Body: msg.Body}
	if l := msg.Load; l != nil {
		a.Load = serve.Load{Known: true, Running: int(l.Running), Waiting: int(l.Waiting), Slots: int(l.Slots)}
	}
	return a
}

// endOf returns the error with which a relayed stream ends.
func endOf(msg *relayv1.End) error {
	switch {
	case msg.Error != nil:
		return decodeError(msg.Error)
	case msg.Unmarked:
		return serve.ErrUnmarkedEnd
	default:
		return io.EOF
	}
}
