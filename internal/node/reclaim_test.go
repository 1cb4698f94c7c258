package node

import (
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

func TestReclaimTimes(t *testing.T) {
	opts := &Options{DrainDelay: 5 * time.Second, DrainTimeout: 20 * time.Second}
	tests := []struct {
		name           string
		remaining      time.Duration // until the deadline; zero for no notice
		delay, timeout time.Duration
	}{
		{"no notice", 0, 5 * time.Second, 20 * time.Second},
		{"long notice", time.Hour, 5 * time.Second, 20 * time.Second},
		{"half a minute", 30 * time.Second, 5 * time.Second, 15 * time.Second},
		{"short", 14 * time.Second, 2 * time.Second, 2 * time.Second},
		{"shorter than the budgets", 5 * time.Second, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newReclaimTracker("entry-host")
			deadline := time.Now().Add(time.Hour)
			if tt.remaining > 0 {
				r.handleNotice(platformapi.Notice{Host: "entry-host", Deadline: deadline})
			}
			delay, timeout := r.drainTimes(opts, deadline.Add(-tt.remaining))
			if delay != tt.delay || timeout != tt.timeout {
				t.Errorf("delay %s, timeout %s; want %s, %s", delay, timeout, tt.delay, tt.timeout)
			}
		})
	}
}

func TestReclaimNotice(t *testing.T) {
	r := newReclaimTracker("own-host")
	r.handleNotice(platformapi.Notice{Host: "other-host", Deadline: time.Now().Add(time.Hour)})
	r.handleNotice(platformapi.Notice{Host: "own-host", Deadline: time.Now().Add(-time.Second)}) // for an earlier incarnation
	if len(r.announced) != 0 {
		t.Fatal("a notice for another host or with a past deadline had an effect")
	}
	for range 3 {
		r.handleNotice(platformapi.Notice{Host: "own-host", Deadline: time.Now().Add(time.Hour)})
	}
	if len(r.announced) != 1 {
		t.Errorf("%d announcements, want 1", len(r.announced))
	}
}
