package walltime

import (
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Host is a Clock of this host that is safe for concurrent use.
type Host struct {
	log *slog.Logger
	mu  struct {
		sync.Mutex
		clock *Clock
	}
}

// NewHost returns a clock that starts with the host's time of day.
func NewHost(log *slog.Logger) *Host {
	h := &Host{log: log}
	h.mu.clock = New(readClocks(log))
	return h
}

// readClocks reads the host's clocks.
func readClocks(log *slog.Logger) Reading {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The monotonic clock does not advance while the host is suspended; the time is
		// then corrected as after a step.
		log.Warn("clock: Time since boot cannot be read; using the monotonic clock instead.", "error", err)
		return Reading{Wall: time.Now().Round(0), SinceBoot: time.Since(processStart)}
	}
	return Reading{Wall: time.Now().Round(0), SinceBoot: time.Duration(ts.Nano())}
}

// SinceBoot returns the time since the host's boot, including the time that it was suspended.
// If that cannot be read, it returns the time since the start of the process.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

// processStart is the origin of the monotonic clock's readings.
var processStart = time.Now()

// Now returns the time of day.
func (h *Host) Now() time.Time {
	r := readClocks(h.log)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mu.clock.Time(r)
}

// Observe records the time of day that another node has just sent.
func (h *Host) Observe(node ident.NodeID, wall time.Time) {
	r := readClocks(h.log)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mu.clock.Observe(r, node, wall)
}

// Correct sets the clock to the host's clock or to the time on which the majority of nodes
// agree, and logs corrections. It must be called several times a second.
func (h *Host) Correct() {
	r := readClocks(h.log)
	h.mu.Lock()
	defer h.mu.Unlock()
	if d := h.mu.clock.Correct(r); d != 0 {
		h.log.Warn("clock: Corrected.", "by_ms", d.Milliseconds(), "host_wall", r.Wall, "others_heard", len(h.mu.clock.observations))
	}
}
