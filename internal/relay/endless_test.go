package relay

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/serve"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/testpeer"
)

// TestRelayAnswersWithoutEnd guards against bytes without end from a node that relays which are taken
// for a response, and against memory for them that is not returned. That a process stays within its
// memory is checked by the test of that name in platform/soak.
func TestRelayAnswersWithoutEnd(t *testing.T) {
	const calls, budget = 150, 8 << 20
	const connectHead = "HTTP/1.1 200 OK\r\nContent-Type: application/connect+proto\r\n\r\n"
	for name, head := range map[string]string{
		"head":         "HTTP/1.1 200 OK\r\nX-A: ",
		"refusal":      "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n\r\n{\"code\":\"",
		"large body":   connectHead + "\x00\x00\x80\x00\x00", // an event of 8 MiB
		"larger body":  connectHead + "\x00\x7f\x00\x00\x00",
		"end of calls": connectHead + "\x02\x00\x80\x00\x00",
	} {
		t.Run(name, func(t *testing.T) {
			bodies, address := bytebudget.New(budget), testpeer.NewEndless(t, head, "x")
			origin := NewTransport(Options{
				Transport: &fakeTransport{}, Services: func() []ident.Service { return []ident.Service{"s"} },
				Endpoints: func(ident.Service) []site.Endpoint { return []site.Endpoint{testEndpoint} },
				Nodes:     func(ident.Service, site.Homes) []string { return []string{address} },
				Bodies:    bodies, WallTime: time.Now, Log: slog.New(slog.DiscardHandler), Metrics: prometheus.NewRegistry(),
			})
			origin.SetSignals(&recorder{})
			origin.pathsTo("s").Probed(time.Now(), 0, 3)
			var wg sync.WaitGroup
			for range calls {
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
					defer cancel()
					if answer, err := origin.Send(ctx, newRequestOf()); err == nil {
						t.Errorf("bytes without end were taken for the response %+v", answer)
					}
				})
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
					defer cancel()
					if kvCopy, err := origin.Migrate(ctx, serve.Migration{Request: "r", From: testEndpoint, To: testEndpoint}); err == nil {
						t.Errorf("bytes without end were taken for the KV copy %+v", kvCopy)
					}
				})
			}
			wg.Wait()
			if !bodies.Take(budget) {
				t.Error("the memory of the calls was not returned")
			}
		})
	}
}

// TestClosedStreamReturnsMemory guards against memory that is taken for the events of a relayed stream
// and never returned, since the caller leaves in the middle of it.
func TestClosedStreamReturnsMemory(t *testing.T) {
	const events = 100_000
	p := newPair(t, func(context.Context, serve.Attempt) (*serve.Answer, error) {
		return &serve.Answer{Head: serve.Head{Status: 200}, Events: &listedEvents{last: events, end: io.EOF}}, nil
	})
	for range 3 {
		answer, err := p.origin.Send(context.Background(), attemptOf(true))
		if err != nil {
			t.Fatal(err)
		}
		for range 10 {
			if _, err := answer.Events.Next(); err != nil {
				t.Fatal(err)
			}
		}
		answer.Events.Close()
	}
	if !p.origin.opts.Bodies.Take(4 << 20) {
		t.Error("the memory of closed streams was not returned")
	}
}
