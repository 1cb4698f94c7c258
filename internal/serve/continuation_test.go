package serve

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/site"
)

var continuationStart = time.Unix(1000, 0)

func newTestContinuation() (c *continuation, target, source *copyPlace) {
	target, source = &copyPlace{endpoint: site.Endpoint{ID: "target"}}, &copyPlace{endpoint: site.Endpoint{ID: "source"}}
	return &continuation{places: []*copyPlace{target, source}, deadline: continuationStart.Add(10 * time.Second)}, target, source
}

// TestContinuationOrder checks where a stopped run is tried after each outcome of the tries before.
func TestContinuationOrder(t *testing.T) {
	for name, c := range map[string]struct {
		outcomes []continuationOutcome
		want     string // T and S for a try at the target and the source
	}{
		"not sent":                  {[]continuationOutcome{continuationNotSent, continuationNotSent, continuationNotSent, continuationNotSent}, "TSTST"},
		"refused":                   {[]continuationOutcome{continuationRefused, continuationRefused, continuationRefused, continuationRefused}, "TSTS"},
		"may have gone on":          {[]continuationOutcome{continuationUnknown, continuationNotSent, continuationUnknown}, "TTTT"},
		"has gone on":               {[]continuationOutcome{continuationUnknown, continuationRefused}, "TT"},
		"went on, then ended":       {[]continuationOutcome{continuationUnknown, engineEnded, continuationNotSent}, "TTSS"},
		"ended":                     {[]continuationOutcome{engineEnded, continuationRefused, continuationRefused}, "TSS"},
		"failed":                    {[]continuationOutcome{continuationFailed}, "T"},
		"source may have it":        {[]continuationOutcome{continuationRefused, continuationUnknown, continuationNotSent}, "TSSS"},
		"source may have it, ended": {[]continuationOutcome{continuationRefused, continuationUnknown, engineEnded, continuationNotSent}, "TSSTT"},
	} {
		plan, target, _ := newTestContinuation()
		now, got := continuationStart, ""
		for i := 0; ; i++ {
			p, wait, ok := plan.next(now)
			if !ok {
				break
			}
			if p == target {
				got += "T"
			} else {
				got += "S"
			}
			if i == len(c.outcomes) {
				break
			}
			now = now.Add(wait + time.Millisecond)
			plan.record(now, c.outcomes[i])
		}
		if got != c.want {
			t.Errorf("%s: tried %s, want %s", name, got, c.want)
		}
	}
}

// TestContinuationIsBounded checks over random outcomes that no try begins after the deadline or after
// its engine accepts requests, that the numbers of tries and of arrivals are limited, and that no engine
// gets the run while another one may have continued it.
func TestContinuationIsBounded(t *testing.T) {
	rng := rand.New(rand.NewPCG(42, 1))
	for range 2000 {
		plan, target, source := newTestContinuation()
		plan.deadline = continuationStart.Add(time.Duration(rng.IntN(2000)) * time.Millisecond)
		if rng.IntN(2) == 0 {
			source.until = continuationStart.Add(time.Duration(1+rng.IntN(500)) * time.Millisecond)
		}
		now, tries := continuationStart, 0
		var unsure *copyPlace
		arrivals := make(map[*copyPlace]int)
		for {
			p, wait, ok := plan.next(now)
			if !ok {
				break
			}
			now = now.Add(wait)
			tries++
			switch {
			case !now.Before(plan.deadline), p == source && !source.until.IsZero() && !now.Before(source.until):
				t.Fatalf("try at %s after %s", p.endpoint.ID, now.Sub(continuationStart))
			case unsure != nil && p != unsure:
				t.Fatalf("try at %s while %s may have continued the run", p.endpoint.ID, unsure.endpoint.ID)
			case wait > maxContinuationPause:
				t.Fatalf("pause of %s", wait)
			case arrivals[p] >= 3, arrivals[target]+arrivals[source] >= 4:
				t.Fatalf("try %d after %d arrivals at the target and %d at the source", tries, arrivals[target], arrivals[source])
			}
			now = now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
			o := continuationOutcome(rng.IntN(int(engineEnded) + 1))
			if o == continuationRefused || o == continuationUnknown {
				arrivals[p]++
			}
			switch o {
			case continuationUnknown:
				unsure = p
			case engineEnded:
				unsure = nil
			}
			plan.record(now, o)
		}
		if tries > maxContinuationTries || tries == 0 && plan.deadline.After(continuationStart) {
			t.Fatalf("%d tries, deadline after %s", tries, plan.deadline.Sub(continuationStart))
		}
	}
}
