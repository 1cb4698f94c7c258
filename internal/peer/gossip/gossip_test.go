package gossip

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/goleak"

	peerv1 "github.com/jujubeshed/jujubeshed/api/gen/peer/v1"
	"github.com/jujubeshed/jujubeshed/api/gen/peer/v1/peerv1connect"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/peer"
)

const testInterval = 20 * time.Millisecond

var testKey = []byte("a key that all nodes share")

// start runs a service with its own listener until the test ends.
func start(t *testing.T, id string, key []byte, seeds func(context.Context) ([]string, error)) *Service {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(Options{
		Peer: peer.Options{ID: ident.NodeID(id), DataCentre: "a", Address: l.Addr().String(), Interval: testInterval},
		Key:  key, Seeds: seeds, SeedInterval: testInterval,
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Provide("config", func(_ context.Context, name string) ([]byte, error) {
		if name != "7" {
			return nil, ErrNotFound
		}
		return []byte("revision seven"), nil
	})
	mux := http.NewServeMux()
	mux.Handle(s.Handler())
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(true)
	server := &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: time.Second}
	served := make(chan struct{})
	go func() { defer close(served); _ = server.Serve(l) }()
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Stop(context.Background()); err != nil {
			t.Error(err)
		}
		_ = server.Close()
		<-served
	})
	return s
}

func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(testInterval / 2)
	}
	t.Fatalf("timed out waiting for: %s", condition)
}

func alive(s *Service) (n int) {
	for _, m := range s.Members() {
		if m.State == peer.StateAlive {
			n++
		}
	}
	return n
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func TestTwoNodes(t *testing.T) {
	defer invariant.SetFatal(invariant.SetFatal(true))
	a := start(t, "a1", testKey, nil)
	calls := 0
	b := start(t, "a2", testKey, func(context.Context) ([]string, error) {
		if calls++; calls == 1 { // the host list is available only for the first call
			return []string{a.o.Peer.Address}, nil
		}
		return nil, errors.New("host list is not available")
	})
	eventually(t, "two live members on both nodes", func() bool { return alive(a) == 2 && alive(b) == 2 })
	a.Mark(peer.Mark{Kind: peer.MarkEndpointLeaving, Subject: "e1", Number: 3})
	eventually(t, "the mark on the other node", func() bool { return b.Leaving("e1", 3) && !b.Leaving("e1", 4) })
	if err := b.Set(peer.TopicLoad, "e2", []byte("busy")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the entry on the other node", func() bool { return len(a.Entries(peer.TopicLoad)) == 1 })

	got, err := a.FetchFrom(t.Context(), b.o.Peer.Address, "config", "7")
	if err != nil || string(got) != "revision seven" {
		t.Errorf("fetched %q, %v", got, err)
	}
	for _, kind := range []string{"config", "other"} {
		if _, err := a.FetchFrom(t.Context(), b.o.Peer.Address, kind, "8"); !errors.Is(err, ErrNotFound) {
			t.Errorf("fetch of an unknown name of kind %q: error = %v, want ErrNotFound", kind, err)
		}
	}
	if err := b.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the removal of the leaving node", func() bool { return len(a.Members()) == 1 })
}

func TestChangesArriveInOrder(t *testing.T) {
	s, err := New(Options{Peer: peer.Options{ID: "a1", DataCentre: "a", Address: "127.0.0.1:1"}, Key: testKey})
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan uint64, 100)
	s.OnChange(func(changes []peer.Change) {
		for _, c := range changes {
			got <- c.Mark.Number
		}
	})
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	for i := range 100 {
		s.Mark(peer.Mark{Kind: peer.MarkRevision, Number: uint64(i + 1)})
	}
	for i := range 100 {
		if n := <-got; n != uint64(i+1) {
			t.Fatalf("change %d has number %d", i+1, n)
		}
	}
	if err := s.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// tamperingTransport modifies requests after they are signed.
type tamperingTransport struct {
	base   http.RoundTripper
	change func(*http.Request)
}

func (c tamperingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.change(r)
	return c.base.RoundTrip(r)
}

func TestRefusals(t *testing.T) {
	s := start(t, "a1", testKey, nil)
	flipBit := func(r *http.Request) {
		body, _ := readAll(r.Body)
		body[len(body)-1] ^= 1
		r.Body = http.NoBody
		if len(body) > 0 {
			r.Body = readCloser{bytes.NewReader(body)}
		}
	}
	sender := &peer.Message{From: "a2", DataCentre: "a", Address: "127.0.0.1:1"}
	tests := []struct {
		name   string
		key    []byte
		change func(*http.Request)
		m      *peer.Message
		reason string
		code   connect.Code
	}{
		{"same key", testKey, func(*http.Request) {}, sender, "", 0},
		{"wrong key", []byte("another key of good length"), func(*http.Request) {}, sender, refusedKey, connect.CodeUnavailable},
		{"changed body", testKey, flipBit, sender, refusedKey, connect.CodeUnavailable},
		{"changed nonce", testKey, func(r *http.Request) { r.Header.Set(headerNonce, "x") }, sender, refusedKey, connect.CodeUnavailable},
		{"no sender", testKey, func(*http.Request) {}, &peer.Message{}, refusedGarbled, connect.CodeInvalidArgument},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			base := defaultTransport()
			defer base.CloseIdleConnections()
			client := &http.Client{Transport: &transport{signer{tt.key}, tamperingTransport{base, tt.change}, newMetrics(nil)}}
			before := refusals(s)
			_, err := peerv1connect.NewGossipServiceClient(client, "http://"+s.o.Peer.Address).
				Exchange(t.Context(), connect.NewRequest(&peerv1.ExchangeRequest{Message: tt.m}))
			if (err != nil) != (tt.reason != "") || err != nil && connect.CodeOf(err) != tt.code {
				t.Errorf("error = %v, want code %v", err, tt.code)
			}
			after := refusals(s)
			if tt.reason != "" {
				before[tt.reason]++
			}
			if fmt.Sprint(before) != fmt.Sprint(after) {
				t.Errorf("refusals = %v, want %v", after, before)
			}
		})
	}
	if len(s.Members()) != 1 {
		t.Errorf("members = %v after refused calls, want only the node itself", s.Members())
	}
	if _, err := New(Options{Key: []byte("short")}); !errors.Is(err, ErrKeyTooShort) {
		t.Errorf("short key: error = %v, want ErrKeyTooShort", err)
	}
}

type readCloser struct{ *bytes.Reader }

func (readCloser) Close() error { return nil }

func refusals(s *Service) map[string]float64 {
	out := make(map[string]float64)
	for _, r := range []string{refusedKey, refusedGarbled, refusedAnswer} {
		out[r] = testutil.ToFloat64(s.metrics.Refused.WithLabelValues(r))
	}
	return out
}

// TestGarbledBody checks that a signed call whose body is not a valid message is
// rejected and counted.
func TestGarbledBody(t *testing.T) {
	s := start(t, "a1", testKey, nil)
	path, _ := s.Handler()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.o.Peer.Address+path+"Exchange", bytes.NewReader([]byte{0xff, 0xff}))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Content-Type", "application/proto")
	res, err := s.HTTPClient(nil).Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if got := refusals(s)[refusedGarbled]; res.StatusCode != http.StatusBadRequest || got != 1 {
		t.Errorf("status %d with %v garbled calls counted, want 400 with 1", res.StatusCode, got)
	}
}
