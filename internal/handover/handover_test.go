package handover

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/jujubeshed/jujubeshed/internal/answer"
	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/entry"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/sharedkey"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fixedConfig struct{ c *config.Config }

func (f fixedConfig) Current() *config.Config { return f.c }

var testConfig = fixedConfig{&config.Config{
	Routes:   map[ident.RouteName]config.Route{"drafts": {Name: "drafts", Class: ident.ClassLong}},
	Services: map[ident.Service]config.Service{"model": {Name: "model"}},
}}

// adopter keeps the jobs that it takes over, unless it is stopping.
type adopter struct {
	answers *answer.Table
	refuse  bool
	jobs    []*entry.ChatJob
}

func (a *adopter) Adopt(job *entry.ChatJob) error {
	if a.refuse {
		return verdict.New(verdict.NotRun, verdict.CodeStopping, "stopping")
	}
	a.answers.Add(job.Answer)
	a.jobs = append(a.jobs, job)
	return nil
}

type members struct{ local, delegates []Member }

func (m members) Local() []Member     { return m.local }
func (m members) Delegates() []Member { return m.delegates }

type peer struct {
	adopter *adopter
	addr    string
}

// newPeer starts a node whose data centre has the other nodes given.
func newPeer(t *testing.T, key sharedkey.Key, local ...*peer) *peer {
	t.Helper()
	p := &peer{adopter: &adopter{answers: answer.NewTable()}}
	mux := http.NewServeMux()
	mux.Handle(NewServer(slog.New(slog.DiscardHandler), testConfig, p.adopter.answers, p.adopter, newRemote(t, key, local...)).Handler())
	srv := httptest.NewServer(key.Handler(mux, func() {}))
	t.Cleanup(srv.Close)
	p.addr = strings.TrimPrefix(srv.URL, "http://")
	return p
}

func newRemote(t *testing.T, key sharedkey.Key, peers ...*peer) *Remote {
	t.Helper()
	return newRemoteOf(t, key, members{local: named(peers)})
}

func named(peers []*peer) []Member {
	var out []Member
	for i, p := range peers {
		out = append(out, Member{ID: ident.NodeID("peer-" + string(rune('a'+i))), Address: p.addr, DataCentre: "far"})
	}
	return out
}

func newRemoteOf(t *testing.T, key sharedkey.Key, ms members) *Remote {
	t.Helper()
	base := &http.Transport{}
	t.Cleanup(base.CloseIdleConnections)
	return NewRemote(slog.New(slog.DiscardHandler), ms, &http.Client{Transport: key.Transport(base)})
}

func newJob(id ident.RequestID) *entry.ChatJob {
	a := answer.New(id, "families", "model", true)
	a.Append(0, []byte("one "))
	a.Append(1, []byte(""))
	a.Append(2, []byte("three"))
	return &entry.ChatJob{
		Request: &entry.Request{ID: id, Workspace: "families", Route: testConfig.c.Routes["drafts"],
			Service: testConfig.c.Services["model"], Arrived: time.UnixMilli(5000), Deadline: time.UnixMilli(9000)},
		Body:   endpoint.ChatRequest{Model: "model", Seed: 1<<63 - 1, Stream: true, Messages: []endpoint.Message{{Role: "user", Content: "é"}}},
		Answer: a,
	}
}

// TestHandOverThenFollow moves a job past a stopping node to the next one, and
// follows it there to its end.
func TestHandOverThenFollow(t *testing.T) {
	a, b := newPeer(t, "k"), newPeer(t, "k")
	r := newRemote(t, "k", a, b)
	ctx := context.Background()
	job := newJob("gone.1.1")
	first := rank(job.Request.ID, r.members.Local())[0]
	stopping, taker := a, b
	if first.Address == b.addr {
		stopping, taker = b, a
	}
	stopping.adopter.refuse = true
	if err := r.HandOver(ctx, job); err != nil {
		t.Fatal(err)
	}
	got := taker.adopter.jobs[0]
	if got.Answer.Text() != "one three" || got.Answer.Len() != 3 || got.Body.Seed != job.Body.Seed ||
		got.Request.Deadline != job.Request.Deadline || got.Request.Route.Class != ident.ClassLong || got.Body.Messages[0].Content != "é" {
		t.Errorf("job arrived as %+v with answer %q", got.Request, got.Answer.Text())
	}
	copied, err := r.Find(ctx, job.Request.ID)
	if err != nil || copied == nil {
		t.Fatalf("answer %v, error %v", copied, err)
	}
	got.Answer.Append(3, []byte(" four"))
	got.Answer.Close(time.Now(), answer.End{Reason: "stop", Usage: answer.Usage{CompletionTokens: 4}})
	reader := copied.Follow(0)
	text := ""
	for p := reader.Next(); ; p = reader.Next() {
		text += string(p.Text)
		if p.End.Done {
			if text != "one three four" || p.End.Reason != "stop" || p.End.Usage.CompletionTokens != 4 {
				t.Errorf("followed to %q, end %+v", text, p.End)
			}
			break
		}
		<-reader.Wake()
	}
}

func TestFindNothing(t *testing.T) {
	p := newPeer(t, "k")
	moved := answer.New("x.1.1", "w", "m", true)
	moved.Close(time.Now(), answer.End{Moved: true})
	p.adopter.answers.Add(moved)
	for _, id := range []ident.RequestID{"x.1.1", "x.1.2"} {
		if a, err := newRemote(t, "k", p).Find(context.Background(), id); a != nil || err != nil {
			t.Errorf("Find(%q) = %v, %v", id, a, err)
		}
	}
}

// TestFindInAnotherDataCentre asks a delegate for an answer that another node of
// its data centre holds.
func TestFindInAnotherDataCentre(t *testing.T) {
	holder := newPeer(t, "k")
	delegate := newPeer(t, "k", holder)
	a := answer.New("n~far.1.1", "w", "m", true)
	a.Append(0, []byte("far"))
	a.Close(time.Now(), answer.End{Reason: "stop"})
	holder.adopter.answers.Add(a)
	r := newRemoteOf(t, "k", members{delegates: named([]*peer{delegate})})
	got, err := r.Find(context.Background(), a.ID)
	if err != nil || got == nil {
		t.Fatalf("answer %v, error %v", got, err)
	}
	reader := got.Follow(0)
	for !got.End().Done {
		<-reader.Wake()
	}
	if got.Text() != "far" {
		t.Errorf("answer = %q", got.Text())
	}
}

func TestWrongKeyIsRefused(t *testing.T) {
	p := newPeer(t, "right")
	if err := newRemote(t, "wrong", p).HandOver(context.Background(), newJob("a.1.1")); err == nil || len(p.adopter.jobs) != 0 {
		t.Errorf("a call with the wrong key was taken: %v", err)
	}
}

func TestMalformedTokens(t *testing.T) {
	for _, ends := range [][]int32{{5}, {2, 1}, {-1}} {
		if err := appendTokens(answer.New("r", "w", "m", true), 0, []byte("abc"), ends); err == nil {
			t.Errorf("token ends %v were taken", ends)
		}
	}
}
