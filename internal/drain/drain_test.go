package drain

import (
	"testing"
	"time"
)

// TestMaySend guards against requests that are sent late in the grace time and cut off at its
// end, and against the refusal of those that end in time.
func TestMaySend(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	plan := New(begin, 8*time.Second) // ends after 7.4 s
	for _, c := range []struct {
		what          string
		now, deadline float64
		repeatable    bool
		want          bool
	}{
		{"bound in time, at the beginning", 0, 1.5, false, true},
		{"bound in time, late", 5.8, 7.3, false, true},
		{"bound at the end", 5.9, 7.4, false, true},
		{"bound beyond the end, late", 6, 7.5, false, false},
		{"bound beyond the end, late, repeatable", 6, 7.5, true, false},
		{"no bound in time, at the beginning", 0, 30, false, true},
		{"no bound in time, early", 1.8, 30, false, true},
		{"no bound in time, with too little left", 1.9, 30, false, false},
		{"no bound in time, repeatable", 2.4, 30, true, true},
		{"no bound in time, repeatable, with too little left", 2.5, 30, true, false},
		{"after the end", 7.5, 8, true, false},
	} {
		if got := plan.MaySend(at(c.now), at(c.deadline), c.repeatable); got != c.want {
			t.Errorf("%s: %t, want %t", c.what, got, c.want)
		}
	}
	if !(Plan{}).MaySend(at(100), at(130), false) {
		t.Error("a node that isn't stopping sends nothing")
	}
}

// TestPlan checks that the steps of a stop are in order and end before the node is killed, however
// short the grace time is.
func TestPlan(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	for _, grace := range []time.Duration{0, 1, 10 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second, 8 * time.Second, time.Minute} {
		p := New(begin, grace)
		if p.Close.Before(p.Begin) || p.End.Before(p.Close) || p.Exit.Before(p.End) {
			t.Errorf("grace %s: steps out of order: %+v", grace, p)
		}
		if grace > 0 && p.Exit.After(begin.Add(grace)) {
			t.Errorf("grace %s: the node exits %s after the stop began", grace, p.Exit.Sub(begin))
		}
	}
}
