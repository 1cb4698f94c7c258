package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Report contains the outcomes of a run.
type Report struct {
	Seed     uint64        `json:"seed"`
	Rate     float64       `json:"rate_per_second"`
	Duration time.Duration `json:"duration_ns"`
	Entries  []string      `json:"entries"`
	Classes  []ClassReport `json:"classes"`
	// Endpoints are the counts of the stand-ins whose addresses are in the options.
	Endpoints EndpointCounts `json:"endpoints"`
	Orders    OrderAudit     `json:"orders"`

	seconds []secondCounts
	byClass map[ident.Class]*histograms
}

// ClassReport contains the outcomes of one class.
type ClassReport struct {
	Class         string   `json:"class"`
	Sent          int      `json:"sent"`
	Whole         int      `json:"whole"`   // complete responses
	Lost          int      `json:"lost"`    // without a complete response
	Wrong         int      `json:"wrong"`   // response to another request or with unexpected content
	Doubled       int      `json:"doubled"` // with an event delivered twice
	Unreachable   int      `json:"unreachable"`
	Refused       Refusals `json:"refused"`
	Cut           int      `json:"cut"`     // connections that broke before the response was complete
	Resumed       int      `json:"resumed"` // streams resumed on another connection
	Resent        int      `json:"resent"`  // times a request was sent again after no response
	FirstToken    Times    `json:"first_token"`
	BetweenTokens Times    `json:"between_tokens"`
	Total         Times    `json:"total"`
}

// Refusals are the numbers of error responses by verdict.
type Refusals struct {
	NotRun     int `json:"not_run"`
	MayHaveRun int `json:"may_have_run"`
	Ran        int `json:"ran"`
	None       int `json:"none"` // without a verdict
}

// Sum returns the total number of refusals.
func (r Refusals) Sum() int {
	return r.NotRun + r.MayHaveRun + r.Ran + r.None
}

// Times are quantiles of a latency histogram of complete responses.
type Times struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P95   time.Duration `json:"p95_ns"`
	P99   time.Duration `json:"p99_ns"`
	Max   time.Duration `json:"max_ns"`
}

func quantilesOf(h *hdrhistogram.Histogram) Times {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Times{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: time.Duration(h.Max()) * time.Microsecond}
}

// Good reports whether no response was lost, doubled or wrong, and all orders took
// effect as their responses state.
func (r *Report) Good() bool {
	for _, c := range r.Classes {
		if c.Lost+c.Wrong+c.Doubled > 0 {
			return false
		}
	}
	return r.Orders.Doubled+r.Orders.Missing+r.Orders.NotRunButRan == 0
}

// WriteTable writes the report as text tables.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "seed %d, %.4g requests/s for %v to %d entries\n\n", r.Seed, r.Rate, r.Duration, len(r.Entries))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tsent\twhole\tlost\twrong\tdoubled\tunreachable\tnot-run\tmay-have-run\tran\tno verdict\tcut\tresumed\tresent\t")
	for _, c := range r.Classes {
		f := c.Refused
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", c.Class, c.Sent, c.Whole, c.Lost, c.Wrong,
			c.Doubled, c.Unreachable, f.NotRun, f.MayHaveRun, f.Ran, f.None, c.Cut, c.Resumed, c.Resent)
	}
	fmt.Fprintln(t, "\t\t\t\t\t\t\t\t\t\t\t\t\t\t")
	fmt.Fprintln(t, "ms\tfirst p50\tp95\tp99\tmax\tbetween p50\tp95\tp99\tmax\ttotal p50\tp95\tp99\tmax\t\t")
	for _, c := range r.Classes {
		fmt.Fprint(t, c.Class)
		for _, q := range []Times{c.FirstToken, c.BetweenTokens, c.Total} {
			fmt.Fprintf(t, "\t%s\t%s\t%s\t%s", ms(q.P50), ms(q.P95), ms(q.P99), ms(q.Max))
		}
		fmt.Fprintln(t, "\t\t")
	}
	if err := t.Flush(); err != nil {
		return err
	}
	e, o := r.Endpoints, r.Orders
	fmt.Fprintf(w, "\ntokens: %d generated, %d of prompts, %d cached, %d recomputed; cost %.6f\n",
		e.GeneratedTokens, e.PromptTokens, e.CachedTokens, e.RecomputedTokens, e.Cost)
	_, err := fmt.Fprintf(w, "orders: %d audited, %d doubled, %d confirmed without effect, %d refused as not-run with effect\n",
		o.Audited, o.Doubled, o.Missing, o.NotRunButRan)
	return err
}

func ms(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}
