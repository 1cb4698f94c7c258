package discovery

import (
	"context"
	"errors"
	"log/slog"
	"testing"

	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// list counts the reads and answers by its fields.
type list struct {
	reads int
	hosts []platformapi.HostInfo
	err   error
}

func (l *list) ListHosts(context.Context) ([]platformapi.HostInfo, error) {
	l.reads++
	return l.hosts, l.err
}

func TestTurns(t *testing.T) {
	tests := []struct {
		name  string
		duty  bool
		down  bool
		reads int // of 2*idleRounds turns after the first read
	}{
		{"on duty", true, false, 2 * idleRounds},
		{"not on duty", false, false, 2},
		{"not on duty, without a list", false, true, 2 * idleRounds},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := &list{hosts: []platformapi.HostInfo{{Host: "h"}}}
			if tt.down {
				l.err = errors.New("down")
			}
			w := New(Options{OnDuty: func() bool { return tt.duty }}, slog.New(slog.DiscardHandler), l)
			w.poll(context.Background())
			l.reads = 0
			for range 2 * idleRounds {
				w.turn(context.Background())
			}
			if l.reads != tt.reads {
				t.Errorf("%d reads, want %d", l.reads, tt.reads)
			}
		})
	}
}

// TestOutage keeps the last list, and takes one from peers only where there is none.
func TestOutage(t *testing.T) {
	asked := 0
	peers := func(context.Context) ([]platformapi.HostInfo, error) {
		asked++
		return []platformapi.HostInfo{{Host: "from-peer"}}, nil
	}
	l := &list{err: errors.New("down")}
	w := New(Options{FromPeers: peers}, slog.New(slog.DiscardHandler), l)
	ctx := context.Background()
	w.poll(ctx)
	w.poll(ctx)
	if got := w.Hosts(); len(got) != 1 || got[0].Host != "from-peer" || asked != 1 {
		t.Errorf("hosts %v after %d questions to peers", got, asked)
	}
	l.err, l.hosts = nil, []platformapi.HostInfo{{Host: "a"}, {Host: "b"}}
	w.poll(ctx)
	l.err = errors.New("down again")
	w.poll(ctx)
	if got := w.Hosts(); len(got) != 2 || asked != 1 {
		t.Errorf("hosts %v after %d questions to peers", got, asked)
	}
}
