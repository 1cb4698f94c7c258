package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/standin/engine"
	"github.com/jujubeshed/jujubeshed/internal/standin/service"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// fakeEntry responds as an entry host would, with one injected fault.
type fakeEntry struct {
	orders *service.Service
	fault  string

	mu       sync.Mutex
	chats    int
	requests map[string]endpoint.ChatRequest
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, resumed := strings.CutPrefix(r.URL.Path, answersPath)
	switch {
	case r.Header.Get("Authorization") != "Bearer k1":
		w.WriteHeader(http.StatusUnauthorized)
	case f.fault == "refuse":
		w.Header().Set(verdict.Header, verdict.NotRun.String())
		w.WriteHeader(http.StatusServiceUnavailable)
	case resumed:
		_, last, _ := strings.Cut(r.Header.Get(headerLastEventID), "/")
		offset, _ := strconv.Atoi(last)
		f.mu.Lock()
		req := f.requests[id]
		f.mu.Unlock()
		f.stream(w, id, req, offset+1, "")
	case r.URL.Path == "/chat" || r.URL.Path == "/drafts":
		var req endpoint.ChatRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		f.mu.Lock()
		f.chats++
		id = fmt.Sprintf("r%d", f.chats)
		f.requests[id] = req
		f.mu.Unlock()
		f.stream(w, id, req, 0, f.fault)
	default:
		f.orders.Handler().ServeHTTP(w, r)
	}
}

// stream sends a response from an offset to its end. The fault occurs at token 3.
func (f *fakeEntry) stream(w http.ResponseWriter, id string, req endpoint.ChatRequest, from int, fault string) {
	tokens := engine.NewTokens(endpoint.PromptText(req.Messages), req.Seed)
	send := func(id string, offset int, c endpoint.Choice) {
		b, _ := json.Marshal(endpoint.ChatChunk{Choices: []endpoint.Choice{c}})
		_, _ = fmt.Fprintf(w, "id: %s/%d\ndata: %s\n\n", id, offset, b)
		_ = http.NewResponseController(w).Flush()
	}
	send(id, from, endpoint.Choice{Delta: endpoint.Delta{Role: "assistant"}})
	for i := from; i < req.MaxTokens; i++ {
		c := endpoint.Choice{Delta: endpoint.Delta{Content: tokens.At(i)}}
		if i == 3 {
			switch fault {
			case "cut":
				panic(http.ErrAbortHandler)
			case "truncate":
				return
			case "double":
				send(id, i, c)
			case "cross":
				send("other", i, c)
			case "wrong":
				c.Delta.Content = "no "
			case "error":
				_, _ = fmt.Fprint(w, "event: error\ndata: {\"error\":{\"verdict\":\"ran\"}}\n\n")
				return
			}
		}
		send(id, i, c)
	}
	send(id, req.MaxTokens-1, endpoint.Choice{FinishReason: "stop"})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// outcome is the sum over the classes of a report.
type outcome struct {
	Whole, Lost, Wrong, Doubled, NotRun int
	Cut, Resumed, Resent                bool
	Good                                bool
}

func sumClasses(r *Report) (o outcome, sent int) {
	for _, c := range r.Classes {
		sent += c.Sent
		o.Whole += c.Whole
		o.Lost += c.Lost
		o.Wrong += c.Wrong
		o.Doubled += c.Doubled
		o.NotRun += c.Refused.NotRun
		o.Cut = o.Cut || c.Cut > 0
		o.Resumed = o.Resumed || c.Resumed > 0
		o.Resent = o.Resent || c.Resent > 0
	}
	o.Good = r.Good()
	return o, sent
}

func TestOutcomes(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent(), goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"))
	chats := []Share{{ident.ClassQuick, 1}, {ident.ClassLong, 1}}
	tests := []struct {
		fault  string
		mix    []Share
		orders service.Options
		want   func(sent int) outcome
		audit  OrderAudit
	}{
		{fault: "none", want: func(n int) outcome { return outcome{Whole: n, Good: true} }},
		{fault: "refuse", want: func(n int) outcome { return outcome{NotRun: n, Good: true} }},
		{fault: "cut", mix: chats, want: func(n int) outcome { return outcome{Whole: n, Cut: true, Resumed: true, Good: true} }},
		{fault: "truncate", mix: chats, want: func(n int) outcome { return outcome{Whole: n, Cut: true, Resumed: true, Good: true} }},
		{fault: "double", mix: chats, want: func(n int) outcome { return outcome{Whole: n, Doubled: n} }},
		{fault: "cross", mix: chats, want: func(n int) outcome { return outcome{Wrong: n} }},
		{fault: "wrong", mix: chats, want: func(n int) outcome { return outcome{Wrong: n} }},
		{fault: "error", mix: chats, want: func(n int) outcome { return outcome{Lost: n} }},
		{fault: "service cuts connections", mix: []Share{{ident.ClassOrder, 1}},
			orders: service.Options{Faults: service.Faults{CutRate: 0.5}, Seed: 1},
			want:   func(n int) outcome { return outcome{Whole: n, Cut: true, Resent: true} }, audit: OrderAudit{Doubled: -1}},
		{fault: "service drops duplicates", mix: []Share{{ident.ClassOrder, 1}},
			orders: service.Options{Faults: service.Faults{CutRate: 0.5}, Seed: 1, DropDuplicates: true},
			want:   func(n int) outcome { return outcome{Whole: n, Cut: true, Resent: true, Good: true} }},
	}
	for _, tt := range tests {
		t.Run(tt.fault, func(t *testing.T) {
			orders := service.New(tt.orders)
			entry := httptest.NewServer(&fakeEntry{orders: orders, fault: tt.fault, requests: map[string]endpoint.ChatRequest{}})
			defer entry.Close()
			control := httptest.NewServer(orders.Handler())
			defer control.Close()
			report, err := Run(context.Background(), Options{
				Entries: []string{"127.0.0.1:1", entry.URL}, Keys: []string{"k1"}, Rate: 100, Duration: 300 * time.Millisecond,
				Seed: 3, Mix: tt.mix, Retries: 200, RetryPause: time.Millisecond, Verify: true, Services: []string{control.URL},
			})
			if err != nil {
				t.Fatal(err)
			}
			got, sent := sumClasses(report)
			if want := tt.want(sent); got != want || sent == 0 {
				t.Errorf("of %d sent: %+v, want %+v", sent, got, want)
			}
			if doubled := report.Orders.Doubled > 0; doubled != (tt.audit.Doubled != 0) || report.Orders.Missing > 0 {
				t.Errorf("orders = %+v", report.Orders)
			}
			var page bytes.Buffer
			if err := report.WriteHTML(&page); err != nil || strings.Count(page.String(), "<svg") != 5 {
				t.Errorf("page of %d bytes, %v", page.Len(), err)
			}
		})
	}
}

func TestUnreachableEntry(t *testing.T) {
	report, err := Run(context.Background(), Options{Entries: []string{"127.0.0.1:1"}, Keys: []string{"k"},
		Rate: 50, Duration: 100 * time.Millisecond, Retries: 2, RetryPause: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range report.Classes {
		if c.Unreachable != c.Sent {
			t.Errorf("class %+v", c)
		}
	}
	if _, err := Run(context.Background(), Options{}); err == nil {
		t.Error("a run without entries succeeded")
	}
}

func TestPlan(t *testing.T) {
	opts, err := Options{Entries: []string{"e"}, Keys: []string{"large", "small"}, Rate: 1000, Duration: 10 * time.Second, Seed: 9}.withDefaults()
	if err != nil {
		t.Fatal(err)
	}
	draw := func() (out []arrival) {
		for p := newPlanner(opts); ; {
			a, ok := p.draw()
			if !ok {
				return out
			}
			out = append(out, a)
		}
	}
	plan, again := draw(), draw()
	if len(plan) != len(again) || plan[99].at != again[99].at || plan[99].class != again[99].class {
		t.Error("two plans with the same seed differ")
	}
	count := map[ident.Class]int{}
	large := 0
	for _, a := range plan {
		count[a.class]++
		if a.key == "large" {
			large++
		}
	}
	n := float64(len(plan))
	// The limits are five standard deviations of a Poisson count with mean 10000 and of its shares.
	if n < 9500 || n > 10500 || count[ident.ClassLong] < 850 || count[ident.ClassLong] > 1150 || large < 4750 || large > 5250 {
		t.Errorf("%v arrivals, %v by class, %d from the large workspace", n, count, large)
	}
}

func TestAudit(t *testing.T) {
	var o OrderAudit
	for _, c := range []struct {
		p orderOutcome
		n int
	}{{orderOutcome{confirmed: true}, 1}, {orderOutcome{confirmed: true}, 0}, {orderOutcome{}, 2}, {orderOutcome{notRun: true}, 1}, {orderOutcome{}, 1}, {orderOutcome{notRun: true}, 0}} {
		o.add(c.p, c.n)
	}
	if want := (OrderAudit{Audited: 6, Doubled: 1, Missing: 1, NotRunButRan: 1, Unconfirmed: 1}); o != want {
		t.Errorf("audit = %+v, want %+v", o, want)
	}
}
