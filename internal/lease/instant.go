package lease

import "time"

// Instant is a simultaneous reading of the two clocks of a node.
type Instant struct {
	// Monotonic is the time since a fixed point in the lifetime of the process.
	Monotonic time.Duration
	Wall      time.Time
}

// Add returns the instant later by d.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Monotonic: i.Monotonic + d, Wall: i.Wall.Add(d)}
}

// maxWallSetback is how far the wall clock may fall behind the monotonic clock while a
// lease is held. A larger difference could hide a suspension of the machine.
const maxWallSetback = 500 * time.Millisecond

// mayHaveElapsed reports whether d may have passed since earlier, by either clock. It
// returns true if the wall clock was set back, as the time passed is then unknown.
func (i Instant) mayHaveElapsed(earlier Instant, d time.Duration) bool {
	mono, wall := i.Monotonic-earlier.Monotonic, i.Wall.Sub(earlier.Wall)
	return mono >= d || wall >= d || wall < mono-maxWallSetback
}
