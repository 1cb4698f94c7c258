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

// acceptor records the chat completions handed over to it, or refuses them if refuse is
// set.
type acceptor struct {
	answers *answer.Table
	refuse  bool
	chats   []*entry.ChatCompletion
}

func (a *acceptor) AcceptHandover(chat *entry.ChatCompletion) error {
	if a.refuse {
		return verdict.New(verdict.NotRun, verdict.CodeStopping, "stopping")
	}
	a.answers.Add(chat.Answer)
	a.chats = append(a.chats, chat)
	return nil
}

type members struct{ local, delegates []Member }

func (m members) Local() []Member     { return m.local }
func (m members) Delegates() []Member { return m.delegates }

type peer struct {
	acceptor *acceptor
	addr     string
}

// newPeer starts a node whose data centre also contains the nodes local.
func newPeer(t *testing.T, key sharedkey.Key, local ...*peer) *peer {
	t.Helper()
	p := &peer{acceptor: &acceptor{answers: answer.NewTable()}}
	mux := http.NewServeMux()
	mux.Handle(NewServer(slog.New(slog.DiscardHandler), testConfig, p.acceptor.answers, p.acceptor, newPeerClient(t, key, local...)).Handler())
	srv := httptest.NewServer(key.Handler(mux, func() {}))
	t.Cleanup(srv.Close)
	p.addr = strings.TrimPrefix(srv.URL, "http://")
	return p
}

func newPeerClient(t *testing.T, key sharedkey.Key, peers ...*peer) *PeerClient {
	t.Helper()
	return newPeerClientWith(t, key, members{local: membersOf(peers)})
}

func membersOf(peers []*peer) []Member {
	var out []Member
	for i, p := range peers {
		out = append(out, Member{ID: ident.NodeID("peer-" + string(rune('a'+i))), Address: p.addr, DataCentre: "far"})
	}
	return out
}

func newPeerClientWith(t *testing.T, key sharedkey.Key, ms members) *PeerClient {
	t.Helper()
	base := &http.Transport{}
	t.Cleanup(base.CloseIdleConnections)
	return NewPeerClient(slog.New(slog.DiscardHandler), ms, &http.Client{Transport: key.Transport(base)})
}

func newChat(id ident.RequestID) *entry.ChatCompletion {
	a := answer.New(id, "families", "model", true)
	a.Append(0, []byte("one "))
	a.Append(1, []byte(""))
	a.Append(2, []byte("three"))
	return &entry.ChatCompletion{
		Request: &entry.Request{ID: id, Workspace: "families", Route: testConfig.c.Routes["drafts"],
			Service: testConfig.c.Services["model"], Arrived: time.UnixMilli(5000), Deadline: time.UnixMilli(9000)},
		Body:   endpoint.ChatRequest{Model: "model", Seed: 1<<63 - 1, Stream: true, Messages: []endpoint.Message{{Role: "user", Content: "é"}}},
		Answer: a,
	}
}

// TestHandOverThenFollow hands a chat completion over while the first candidate is
// stopping. The second candidate must receive it unchanged, and its answer must be
// readable from there to the end.
func TestHandOverThenFollow(t *testing.T) {
	a, b := newPeer(t, "k"), newPeer(t, "k")
	client := newPeerClient(t, "k", a, b)
	ctx := context.Background()
	chat := newChat("gone.1.1")
	first := rank(chat.Request.ID, client.members.Local())[0]
	stopping, accepting := a, b
	if first.Address == b.addr {
		stopping, accepting = b, a
	}
	stopping.acceptor.refuse = true
	if err := client.HandOver(ctx, chat); err != nil {
		t.Fatal(err)
	}
	got := accepting.acceptor.chats[0]
	if got.Answer.Text() != "one three" || got.Answer.Len() != 3 || got.Body.Seed != chat.Body.Seed ||
		got.Request.Deadline != chat.Request.Deadline || got.Request.Route.Class != ident.ClassLong || got.Body.Messages[0].Content != "é" {
		t.Errorf("chat completion was received as %+v with answer %q", got.Request, got.Answer.Text())
	}
	followed, err := client.Find(ctx, chat.Request.ID)
	if err != nil || followed == nil {
		t.Fatalf("answer %v, error %v", followed, err)
	}
	got.Answer.Append(3, []byte(" four"))
	got.Answer.Close(time.Now(), answer.End{Reason: "stop", Usage: answer.Usage{CompletionTokens: 4}})
	reader := followed.Follow(0)
	text := ""
	for p := reader.Next(); ; p = reader.Next() {
		text += string(p.Text)
		if p.End.Done {
			if text != "one three four" || p.End.Reason != "stop" || p.End.Usage.CompletionTokens != 4 {
				t.Errorf("followed answer is %q with end %+v", text, p.End)
			}
			break
		}
		<-reader.Wake()
	}
}

func TestFindMissingAnswer(t *testing.T) {
	p := newPeer(t, "k")
	handedOver := answer.New("x.1.1", "w", "m", true)
	handedOver.Close(time.Now(), answer.End{HandedOver: true})
	p.acceptor.answers.Add(handedOver)
	for _, id := range []ident.RequestID{"x.1.1", "x.1.2"} {
		if a, err := newPeerClient(t, "k", p).Find(context.Background(), id); a != nil || err != nil {
			t.Errorf("Find(%q) = %v, %v", id, a, err)
		}
	}
}

// TestFindInAnotherDataCentre queries a delegate for an answer that is stored on another
// node of the delegate's data centre.
func TestFindInAnotherDataCentre(t *testing.T) {
	owner := newPeer(t, "k")
	delegate := newPeer(t, "k", owner)
	a := answer.New("n~far.1.1", "w", "m", true)
	a.Append(0, []byte("far"))
	a.Close(time.Now(), answer.End{Reason: "stop"})
	owner.acceptor.answers.Add(a)
	client := newPeerClientWith(t, "k", members{delegates: membersOf([]*peer{delegate})})
	got, err := client.Find(context.Background(), a.ID)
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
	if err := newPeerClient(t, "wrong", p).HandOver(context.Background(), newChat("a.1.1")); err == nil || len(p.acceptor.chats) != 0 {
		t.Errorf("a call with the wrong key was accepted: %v", err)
	}
}

func TestMalformedTokens(t *testing.T) {
	for _, ends := range [][]int32{{5}, {2, 1}, {-1}} {
		if err := appendTokens(answer.New("r", "w", "m", true), 0, []byte("abc"), ends); err == nil {
			t.Errorf("token ends %v were accepted", ends)
		}
	}
}
