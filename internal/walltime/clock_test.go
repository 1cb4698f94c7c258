package walltime

import (
	"fmt"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// reading returns the reading of a host sinceBoot after its boot, whose time of day is
// wrong by offset.
func reading(sinceBoot, offset time.Duration) Reading {
	return Reading{Wall: epoch.Add(sinceBoot + offset), SinceBoot: sinceBoot}
}

// TestShortStepIsIgnored checks that a step of the host's clock, back or ahead, which lasts
// for 8 s is not followed.
func TestShortStepIsIgnored(t *testing.T) {
	for _, step := range []time.Duration{-3 * time.Second, 2 * time.Second, -300 * time.Millisecond} {
		c := New(reading(0, 0))
		for sinceBoot := time.Duration(0); sinceBoot < 20*time.Second; sinceBoot += 100 * time.Millisecond {
			offset := time.Duration(0)
			if sinceBoot > 5*time.Second && sinceBoot < 13*time.Second {
				offset = step
			}
			r := reading(sinceBoot, offset)
			c.Correct(r)
			if got := c.Time(r).Sub(epoch); got != sinceBoot {
				t.Fatalf("step of %s: time %s after boot is %s", step, sinceBoot, got)
			}
		}
	}
}

// TestSmallDriftIsFollowed checks that a clock that is slewed by 1 s in a minute is
// followed.
func TestSmallDriftIsFollowed(t *testing.T) {
	c := New(reading(0, 0))
	var r Reading
	for sinceBoot := time.Duration(0); sinceBoot < time.Minute; sinceBoot += 100 * time.Millisecond {
		r = reading(sinceBoot, sinceBoot/60)
		c.Correct(r)
	}
	if d := r.Wall.Sub(c.Time(r)).Abs(); d > 10*time.Millisecond {
		t.Errorf("time is %s off a host clock that was slewed by 1 s in a minute", d)
	}
}

// TestPermanentStepIsFollowed checks that a host clock that was corrected by a step is
// followed after stepAcceptDelay.
func TestPermanentStepIsFollowed(t *testing.T) {
	c := New(reading(0, -5*time.Second))
	var r Reading
	for sinceBoot := time.Duration(0); sinceBoot < 2*time.Minute; sinceBoot += time.Second {
		r = reading(sinceBoot, 0)
		c.Correct(r)
	}
	if d := c.Time(r).Sub(r.Wall).Abs(); d > 0 {
		t.Errorf("time is off by %s", d)
	}
}

// TestMajorityCorrectsClock: a process that starts on a host with a wrong clock adopts the
// time of the majority, and keeps it once the host's clock is corrected. With too few
// other nodes or without a majority it keeps its own.
func TestMajorityCorrectsClock(t *testing.T) {
	const offset = 2 * time.Second
	for _, tc := range []struct {
		right, wrong int // other nodes
		corrected    bool
	}{
		{1, 0, false}, {2, 0, true}, {4, 2, true}, {3, 3, false}, {2, 4, false}, {0, 7, false},
	} {
		t.Run(fmt.Sprintf("%d right, %d wrong", tc.right, tc.wrong), func(t *testing.T) {
			c := New(reading(time.Second, offset))
			r := reading(2*time.Second, offset)
			for i := range tc.right + tc.wrong {
				wall := epoch.Add(r.SinceBoot)
				if i >= tc.right {
					wall = wall.Add(offset)
				}
				c.Observe(r, ident.NodeID(fmt.Sprint(i)), wall.Add(-3*time.Millisecond))
			}
			c.Correct(r)
			got := c.Time(r).Sub(epoch.Add(r.SinceBoot))
			if corrected := got.Abs() < 10*time.Millisecond; corrected != tc.corrected {
				t.Errorf("time is off by %s", got)
			}
			later := reading(9*time.Second, 0)
			c.Correct(later)
			if got := c.Time(later).Sub(later.Wall).Abs(); tc.corrected && got > 10*time.Millisecond {
				t.Errorf("after the host's clock was corrected, time is off by %s", got)
			}
		})
	}
}

// TestDelayedMessagesCauseNoCorrection: a host that was suspended reads the messages that
// arrived meanwhile all at once. Their delay must not be taken for a step of the clock.
func TestDelayedMessagesCauseNoCorrection(t *testing.T) {
	c := New(reading(0, 0))
	for _, sinceBoot := range []time.Duration{time.Second, 4 * time.Second} {
		r := reading(sinceBoot, 0)
		for i := range 7 {
			wall := r.Wall.Add(-2 * time.Millisecond)
			if sinceBoot > time.Second {
				wall = wall.Add(-700 * time.Millisecond)
			}
			c.Observe(r, ident.NodeID(fmt.Sprint(i)), wall)
		}
		if d := c.Correct(r); d != 0 {
			t.Errorf("corrected by %s at %s", d, sinceBoot)
		}
	}
}
