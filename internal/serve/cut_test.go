package serve_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/serve"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// brokenCaller is a caller to whom no second event can be written.
type brokenCaller struct{ caller }

func (c *brokenCaller) Event(raw string) error {
	if c.events != "" {
		return errors.New("broken pipe")
	}
	return c.caller.Event(raw)
}

// leavingCaller leaves after the first event.
type leavingCaller struct {
	caller
	leave context.CancelFunc
}

func (c *leavingCaller) Event(raw string) error {
	c.leave()
	return c.caller.Event(raw)
}

// hangingEvents returns its events and then waits for the end of the attempt.
type hangingEvents struct {
	events
	ctx context.Context
}

func (e *hangingEvents) Next() (serve.Event, error) {
	if len(e.queue) > 0 {
		return e.events.Next()
	}
	<-e.ctx.Done()
	return serve.Event{}, e.ctx.Err()
}

// hangingNode answers with streams that stop after their second event.
type hangingNode struct{ *fakeNode }

func (n hangingNode) Send(ctx context.Context, _ serve.Attempt) (*serve.Answer, error) {
	answer := streamResponse("s", nil, nil)
	answer.Events = &hangingEvents{events{queue: numberedEvents(1, 2)}, ctx}
	return answer, nil
}

// checkCut serves a stream and checks what its log line and the metric name as the cause of its end.
func checkCut(t *testing.T, ctx context.Context, tr serve.Transport, node *fakeNode, out serve.Writer, want string) {
	t.Helper()
	var log bytes.Buffer
	reg := prometheus.NewRegistry()
	h := serve.NewHandler(serve.Dependencies{
		NodeServices: node, Placement: node, Versions: node, Transport: tr, Log: slog.New(slog.NewTextHandler(&log, nil)), Metrics: serve.NewMetrics(reg),
	})
	if want == "stop" {
		terminate := time.AfterFunc(20*time.Millisecond, func() { h.TerminateRequests() })
		defer terminate.Stop()
	}
	h.Serve(ctx, request("/draft/x"), out)
	if got := strings.Contains(log.String(), "cut_by="+want); got != (want != "") || want == "" && strings.Contains(log.String(), "cut_by") {
		t.Errorf("log: %s", log.String())
	}
	if got := cutMetric(t, reg); got != want {
		t.Errorf("the metric counts a stream cut by %q, want %q", got, want)
	}
}

// cutMetric returns the cause with which the metric counts one cut stream, or "" if it counts none.
func cutMetric(t *testing.T, reg *prometheus.Registry) string {
	t.Helper()
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() != "stream_cut_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if l.GetName() == "cause" && m.GetCounter().GetValue() == 1 {
					return l.GetValue()
				}
			}
		}
	}
	return ""
}

// TestCutStreamsNameTheirCause checks that the log line and the metric of a stream that ends before its
// last event tell who ended it.
func TestCutStreamsNameTheirCause(t *testing.T) {
	for want, end := range map[string]error{
		"endpoint":   errors.Mark(io.ErrUnexpectedEOF, serve.ErrBrokenOff),
		"connection": errors.New("connection timed out"),
		"":           io.EOF,
	} {
		node, _ := newFakeNode(func(int, serve.Attempt) (*serve.Answer, error) {
			return streamResponse("s", numberedEvents(1, 2), end), nil
		})
		checkCut(t, context.Background(), node, node, &caller{}, want)
	}
	node, _ := newFakeNode(func(int, serve.Attempt) (*serve.Answer, error) {
		return streamResponse("s", numberedEvents(1, 3), io.EOF), nil
	})
	checkCut(t, context.Background(), node, node, &brokenCaller{}, "caller-write")
	ctx, leave := context.WithCancel(context.Background())
	checkCut(t, ctx, hangingNode{node}, node, &leavingCaller{leave: leave}, "caller")
	checkCut(t, context.Background(), hangingNode{node}, node, &caller{}, "deadline")
	checkCut(t, context.Background(), hangingNode{node}, node, &caller{}, "stop")
}

// TestStreamCutByItsMigrationSaysSo checks the same for a stream that was stopped for its migration.
func TestStreamCutByItsMigrationSaysSo(t *testing.T) {
	tr := &migratingTransport{stopErr: refusal(verdict.MayHaveRun), resumption: func() (*serve.Answer, error) { return nil, refusal(verdict.NotRun) }}
	var log bytes.Buffer
	reg := prometheus.NewRegistry()
	if _, c, _ := serveMigratedWith(tr, slog.New(slog.NewTextHandler(&log, nil)), reg); !c.aborted {
		t.Fatal("the stream was not cut")
	}
	if got := cutMetric(t, reg); got != "migration" || !strings.Contains(log.String(), "cut_by=migration") {
		t.Errorf("cut by %q; log: %s", got, log.String())
	}
}
