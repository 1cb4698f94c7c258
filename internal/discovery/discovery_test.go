package discovery

import (
	"context"
	"errors"
	"log/slog"
	"testing"

	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// fakeHosts counts the reads and returns hosts and err.
type fakeHosts struct {
	reads int
	hosts []platformapi.HostInfo
	err   error
}

func (l *fakeHosts) ListHosts(context.Context) ([]platformapi.HostInfo, error) {
	l.reads++
	return l.hosts, l.err
}

func TestPollFrequency(t *testing.T) {
	tests := []struct {
		name        string
		reader      bool
		unreachable bool
		reads       int // in 2*nonReaderIntervals intervals after the first read
	}{
		{"reader", true, false, 2 * nonReaderIntervals},
		{"not a reader", false, false, 2},
		{"not a reader, without a list", false, true, 2 * nonReaderIntervals},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := &fakeHosts{hosts: []platformapi.HostInfo{{Host: "h"}}}
			if tt.unreachable {
				l.err = errors.New("unreachable")
			}
			w := New(Options{IsReader: func() bool { return tt.reader }}, slog.New(slog.DiscardHandler), l)
			w.poll(context.Background())
			l.reads = 0
			for range 2 * nonReaderIntervals {
				w.pollIfDue(context.Background())
			}
			if l.reads != tt.reads {
				t.Errorf("%d reads, want %d", l.reads, tt.reads)
			}
		})
	}
}

// TestOutage checks that the last list stays in use while the host list is
// unreachable, and that peers are queried only if there is no list.
func TestOutage(t *testing.T) {
	queries := 0
	fromPeers := func(context.Context) ([]platformapi.HostInfo, error) {
		queries++
		return []platformapi.HostInfo{{Host: "from-peer"}}, nil
	}
	l := &fakeHosts{err: errors.New("unreachable")}
	w := New(Options{FromPeers: fromPeers}, slog.New(slog.DiscardHandler), l)
	ctx := context.Background()
	w.poll(ctx)
	w.poll(ctx)
	if got := w.Hosts(); len(got) != 1 || got[0].Host != "from-peer" || queries != 1 {
		t.Errorf("hosts %v after %d peer queries", got, queries)
	}
	l.err, l.hosts = nil, []platformapi.HostInfo{{Host: "a"}, {Host: "b"}}
	w.poll(ctx)
	l.err = errors.New("unreachable again")
	w.poll(ctx)
	if got := w.Hosts(); len(got) != 2 || queries != 1 {
		t.Errorf("hosts %v after %d peer queries", got, queries)
	}
}
