package dispatch

import (
	"context"
	"net/http"
	"sort"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/entry"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/once"
	"github.com/jujubeshed/jujubeshed/internal/once/committer"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// recordTimeout is how long the response to an order waits until its outcome is recorded.
// After that, the response is sent anyway, and the committer continues to record it.
const recordTimeout = 2 * time.Second

// Orders runs non-idempotent requests at most once, through the ledger.
type Orders struct {
	ledger *committer.Committer
}

var _ entry.Ledger = (*Orders)(nil)

// NewOrders returns an entry.Ledger that records in ledger.
func NewOrders(ledger *committer.Committer) *Orders {
	return &Orders{ledger: ledger}
}

// Do claims the request's key, calls run if the claim is granted, and records the outcome.
// A repeated request gets the recorded response.
func (o *Orders) Do(ctx context.Context, r *entry.Request, in *http.Request, body []byte, run func(context.Context) (*entry.RecordedResponse, error)) (*entry.RecordedResponse, error) {
	if len(r.Key) > once.MaxKeyBytes {
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the idempotency key exceeds %d bytes", once.MaxKeyBytes)
	}
	g, err := o.ledger.Claim(ctx, once.Claim{
		Key:      once.Key{Workspace: r.Workspace, Name: r.Key},
		Body:     digest(in, body),
		Attempt:  ident.AttemptID(r.ID),
		Deadline: r.Deadline,
	})
	if err != nil {
		return nil, err
	}
	if g.Replay != nil {
		return replay(g.Replay), nil
	}
	if !g.MayDispatch(time.Now()) {
		o.finish(ctx, g, once.Outcome{Verdict: verdict.NotRun})
		return nil, verdict.New(verdict.NotRun, verdict.CodeStore, "the claim of the order was recorded too late to dispatch it").After(time.Second)
	}
	r.DispatchBy = g.DispatchBy
	rec, err := run(ctx)
	o.finish(ctx, g, outcome(rec, err))
	return rec, err
}

// digest returns the digest of method, URI and body. Requests with the same key must have
// the same digest.
func digest(in *http.Request, body []byte) once.Digest {
	head := in.Method + " " + in.URL.RequestURI() + "\n"
	return once.DigestOf(append([]byte(head), body...))
}

func outcome(rec *entry.RecordedResponse, err error) once.Outcome {
	if err != nil {
		return once.Outcome{Verdict: verdict.Of(err)}
	}
	a := once.Answer{Status: rec.Status, Body: rec.Body}
	for name, values := range rec.Header {
		for _, v := range values {
			a.Headers = append(a.Headers, once.HeaderField{Name: name, Value: v})
		}
	}
	sort.SliceStable(a.Headers, func(i, j int) bool { return a.Headers[i].Name < a.Headers[j].Name })
	return once.Outcome{Verdict: verdict.Ran, Answer: a}
}

func (o *Orders) finish(ctx context.Context, g committer.Grant, out once.Outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	// The committer logs late and stale records; the caller's response doesn't depend
	// on them.
	_ = o.ledger.Finish(ctx, g, out)
}

// ReplayHeader is the header that marks a response as recorded by an earlier request.
const ReplayHeader = "Idempotency-Replayed"

func replay(a *once.Answer) *entry.RecordedResponse {
	rec := &entry.RecordedResponse{Status: a.Status, Header: make(http.Header), Body: a.Body}
	for _, h := range a.Headers {
		rec.Header.Add(h.Name, h.Value)
	}
	rec.Header.Set(ReplayHeader, "true")
	return rec
}
