package handover

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	handoverv1 "github.com/jujubeshed/jujubeshed/api/gen/handover/v1"
	"github.com/jujubeshed/jujubeshed/internal/answer"
	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/entry"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

func chatToProto(chat *entry.ChatCompletion, text []byte, ends []int32) (*handoverv1.HandOverRequest, error) {
	var body bytes.Buffer
	enc := json.NewEncoder(&body)
	enc.SetEscapeHTML(false) // escaping could make the body up to six times as long
	if err := enc.Encode(chat.Body); err != nil {
		return nil, errors.Wrapf(err, "encode the body of %s", chat.Request.ID)
	}
	r := chat.Request
	return &handoverv1.HandOverRequest{
		RequestId:      string(r.ID),
		Workspace:      string(r.Workspace),
		Route:          string(r.Route.Name),
		Service:        string(r.Service.Name),
		ArrivedUnixMs:  r.Arrived.UnixMilli(),
		DeadlineUnixMs: r.Deadline.UnixMilli(),
		Body:           body.Bytes(),
		Text:           text,
		TokenEnds:      ends,
		Attempts:       chat.Attempts.Load(),
	}, nil
}

// chatFromProto decodes a chat completion. It looks up route and service in this node's
// configuration. A missing route only loses the request's class; a missing service is an
// error.
func chatFromProto(in *handoverv1.HandOverRequest, cfg *config.Config) (*entry.ChatCompletion, error) {
	if cfg == nil {
		return nil, errors.New("no configuration is in force yet")
	}
	service, ok := cfg.Services[ident.Service(in.GetService())]
	if !ok {
		return nil, errors.Newf("service %q is not in the configuration", in.GetService())
	}
	chat := &entry.ChatCompletion{Request: &entry.Request{
		ID:        ident.RequestID(in.GetRequestId()),
		Workspace: ident.Workspace(in.GetWorkspace()),
		Route:     cfg.Routes[ident.RouteName(in.GetRoute())],
		Service:   service,
		Arrived:   time.UnixMilli(in.GetArrivedUnixMs()),
		Deadline:  time.UnixMilli(in.GetDeadlineUnixMs()),
	}}
	if err := json.Unmarshal(in.GetBody(), &chat.Body); err != nil {
		return nil, errors.Wrapf(err, "decode the body of %s", in.GetRequestId())
	}
	chat.Attempts.Store(in.GetAttempts())
	chat.Answer = answer.New(chat.Request.ID, chat.Request.Workspace, chat.Body.Model, chat.Body.Stream)
	return chat, appendTokens(chat.Answer, 0, in.GetText(), in.GetTokenEnds())
}

// appendTokens splits text into tokens, which end at the byte offsets ends, and appends
// them to an answer, starting at the token with the given offset.
func appendTokens(a *answer.Answer, offset int, text []byte, ends []int32) error {
	start := int32(0)
	for i, end := range ends {
		if end < start || int(end) > len(text) {
			return errors.Newf("token %d has the invalid end %d in a text of %d bytes", offset+i, end, len(text))
		}
		a.Append(offset+i, text[start:end])
		start = end
	}
	return nil
}

func endToProto(e answer.End) *handoverv1.End {
	out := &handoverv1.End{
		FinishReason:     e.Reason,
		PromptTokens:     int32(e.Usage.PromptTokens),
		CompletionTokens: int32(e.Usage.CompletionTokens),
		CachedTokens:     int32(e.Usage.CachedTokens),
		Moved:            e.HandedOver,
	}
	if e.Err != nil {
		out.Code = string(e.Err.Code)
		out.Verdict = e.Err.Verdict.String()
		out.Detail = e.Err.Error()
		out.RetryAfterMs = e.Err.RetryAfter.Milliseconds()
	}
	return out
}

func endFromProto(in *handoverv1.End) answer.End {
	e := answer.End{
		Reason:     in.GetFinishReason(),
		HandedOver: in.GetMoved(),
		Usage: answer.Usage{
			PromptTokens:     int(in.GetPromptTokens()),
			CompletionTokens: int(in.GetCompletionTokens()),
			CachedTokens:     int(in.GetCachedTokens()),
		},
	}
	if in.GetCode() != "" {
		e.Err = &verdict.Error{
			Verdict:    verdict.Parse(in.GetVerdict()),
			Code:       verdict.Code(in.GetCode()),
			RetryAfter: time.Duration(in.GetRetryAfterMs()) * time.Millisecond,
			Cause:      errors.New(in.GetDetail()),
		}
	}
	return e
}
