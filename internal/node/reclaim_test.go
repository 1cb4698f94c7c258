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
		left           time.Duration // zero for no notice
		delay, timeout time.Duration
	}{
		{"no notice", 0, 5 * time.Second, 20 * time.Second},
		{"long notice", time.Hour, 5 * time.Second, 20 * time.Second},
		{"half a minute", 30 * time.Second, 5 * time.Second, 15 * time.Second},
		{"short", 14 * time.Second, 2 * time.Second, 2 * time.Second},
		{"at once", 5 * time.Second, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newReclaim("entry-host")
			deadline := time.Now().Add(time.Hour)
			if tt.left > 0 {
				r.notice(platformapi.Notice{Host: "entry-host", Deadline: deadline})
			}
			delay, timeout := r.drainTimes(opts, deadline.Add(-tt.left))
			if delay != tt.delay || timeout != tt.timeout {
				t.Errorf("delay %s, timeout %s; want %s, %s", delay, timeout, tt.delay, tt.timeout)
			}
		})
	}
}

func TestReclaimNotice(t *testing.T) {
	r := newReclaim("mine")
	r.notice(platformapi.Notice{Host: "another", Deadline: time.Now().Add(time.Hour)})
	r.notice(platformapi.Notice{Host: "mine", Deadline: time.Now().Add(-time.Second)}) // of a life before
	if len(r.announce) != 0 {
		t.Fatal("a notice that is not the node's own was taken")
	}
	for range 3 {
		r.notice(platformapi.Notice{Host: "mine", Deadline: time.Now().Add(time.Hour)})
	}
	if len(r.announce) != 1 {
		t.Errorf("%d announcements, want 1", len(r.announce))
	}
}
