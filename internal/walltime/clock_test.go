package walltime

import (
	"fmt"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// at returns the clocks of a host some time after boot whose time of day is off.
func at(boot, off time.Duration) Reading {
	return Reading{Wall: epoch.Add(boot + off), Boot: boot}
}

// TestStepMovesNoTime: a step of the host's clock, back or ahead, is not followed
// while it lasts for some seconds.
func TestStepMovesNoTime(t *testing.T) {
	for _, step := range []time.Duration{-3 * time.Second, 2 * time.Second, -300 * time.Millisecond} {
		c := New(at(0, 0))
		for boot := time.Duration(0); boot < 20*time.Second; boot += 100 * time.Millisecond {
			off := time.Duration(0)
			if boot > 5*time.Second && boot < 13*time.Second {
				off = step
			}
			r := at(boot, off)
			c.Correct(r)
			if got := c.Time(r).Sub(epoch); got != boot {
				t.Fatalf("step of %s: the time told at %s is %s", step, boot, got)
			}
		}
	}
}

// TestSmallDriftIsFollowed: a clock that is set right little by little is followed.
func TestSmallDriftIsFollowed(t *testing.T) {
	c := New(at(0, 0))
	var r Reading
	for boot := time.Duration(0); boot < time.Minute; boot += 100 * time.Millisecond {
		r = at(boot, boot/60)
		c.Correct(r)
	}
	if d := r.Wall.Sub(c.Time(r)).Abs(); d > 10*time.Millisecond {
		t.Errorf("the time told is %s behind a clock that moved by a second in a minute", d)
	}
}

// TestLastingStepIsFollowed: a clock that was set right is believed after a minute.
func TestLastingStepIsFollowed(t *testing.T) {
	c := New(at(0, -5*time.Second))
	var r Reading
	for boot := time.Duration(0); boot < 2*time.Minute; boot += time.Second {
		r = at(boot, 0)
		c.Correct(r)
	}
	if d := c.Time(r).Sub(r.Wall).Abs(); d > 0 {
		t.Errorf("the time told is off by %s", d)
	}
}

// TestMostNodesDecide: a process that starts on a host whose clock is wrong takes the
// time of most others, and keeps it when its clock is set right; with too few others,
// or where no most agree, it keeps its own.
func TestMostNodesDecide(t *testing.T) {
	const off = 2 * time.Second
	for _, tc := range []struct {
		right, wrong int // other nodes
		corrected    bool
	}{
		{1, 0, false}, {2, 0, true}, {4, 2, true}, {3, 3, false}, {2, 4, false}, {0, 7, false},
	} {
		t.Run(fmt.Sprintf("%d right, %d wrong", tc.right, tc.wrong), func(t *testing.T) {
			c := New(at(time.Second, off))
			r := at(2*time.Second, off)
			for i := range tc.right + tc.wrong {
				told := epoch.Add(r.Boot)
				if i >= tc.right {
					told = told.Add(off)
				}
				c.Observe(r, ident.NodeID(fmt.Sprint(i)), told.Add(-3*time.Millisecond))
			}
			c.Correct(r)
			got := c.Time(r).Sub(epoch.Add(r.Boot))
			if corrected := got.Abs() < 10*time.Millisecond; corrected != tc.corrected {
				t.Errorf("the time told is off by %s", got)
			}
			later := at(9*time.Second, 0)
			c.Correct(later)
			if got := c.Time(later).Sub(later.Wall).Abs(); tc.corrected && got > 10*time.Millisecond {
				t.Errorf("after the clock is right again, the time told is off by %s", got)
			}
		})
	}
}

// TestDelayedWordCountsForLittle: a host that was suspended reads what waited for it
// all at once; that tells of no step.
func TestDelayedWordCountsForLittle(t *testing.T) {
	c := New(at(0, 0))
	for _, boot := range []time.Duration{time.Second, 4 * time.Second} {
		r := at(boot, 0)
		for i := range 7 {
			told := r.Wall.Add(-2 * time.Millisecond)
			if boot > time.Second {
				told = told.Add(-700 * time.Millisecond)
			}
			c.Observe(r, ident.NodeID(fmt.Sprint(i)), told)
		}
		if d := c.Correct(r); d != 0 {
			t.Errorf("corrected by %s at %s", d, boot)
		}
	}
}
