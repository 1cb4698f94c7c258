package walltime

import (
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Host is the clock of this host, for use by several goroutines.
type Host struct {
	log *slog.Logger
	mu  struct {
		sync.Mutex
		clock *Clock
	}
}

// NewHost returns a clock that begins with the host's time of day.
func NewHost(log *slog.Logger) *Host {
	h := &Host{log: log}
	h.mu.clock = New(read(log))
	return h
}

// read reads the host's clocks.
func read(log *slog.Logger) Reading {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The monotonic clock stands still on a suspended host, whose time is then
		// corrected as after a step.
		log.Warn("clock: Time since boot cannot be read; the monotonic clock takes its place.", "error", err)
		return Reading{Wall: time.Now().Round(0), Boot: time.Since(started)}
	}
	return Reading{Wall: time.Now().Round(0), Boot: time.Duration(ts.Nano())}
}

// started is the origin of the monotonic clock's readings.
var started = time.Now()

// Now returns the time of day.
func (h *Host) Now() time.Time {
	r := read(h.log)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mu.clock.Time(r)
}

// Observe takes what another node told as the time just now.
func (h *Host) Observe(node ident.NodeID, told time.Time) {
	r := read(h.log)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mu.clock.Observe(r, node, told)
}

// Correct follows the host's clock, or what most nodes agree on. It is called some
// times a second.
func (h *Host) Correct() {
	r := read(h.log)
	h.mu.Lock()
	defer h.mu.Unlock()
	if d := h.mu.clock.Correct(r); d != 0 {
		h.log.Warn("clock: Corrected.", "by_ms", d.Milliseconds(), "host_wall", r.Wall, "others_heard", len(h.mu.clock.heard))
	}
}
