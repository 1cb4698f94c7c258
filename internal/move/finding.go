package move

import (
	"fmt"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Finding is the comparison of one route by one signal, in numbers.
type Finding struct {
	Route  ident.RouteName `json:"route,omitempty"` // empty: all routes
	Signal Signal          `json:"signal"`
	// Old and New count since the start of the move, OldLately and NewLately over
	// the last minute or two.
	Old       Arm `json:"old"`
	New       Arm `json:"new"`
	OldLately Arm `json:"old_lately"`
	NewLately Arm `json:"new_lately"`
	// Bound of slow or short answers: milliseconds, or tokens or bytes.
	Bound float64 `json:"bound,omitempty"`
	// Odds is the natural logarithm of the e-value, corrected for the number of
	// tests; the higher, the worse for the new version.
	Odds float64 `json:"odds"`
}

// String returns the finding as a clause for operators.
func (f Finding) String() string {
	old, fresh := f.OldLately, f.NewLately
	if fresh.Trials == 0 {
		old, fresh = f.Old, f.New
	}
	bound := ""
	switch f.Signal {
	case SignalSlow:
		bound = fmt.Sprintf(" (over %v)", time.Duration(f.Bound*float64(time.Millisecond)).Round(time.Millisecond))
	case SignalShort:
		bound = fmt.Sprintf(" (up to %.0f tokens or bytes)", f.Bound)
	}
	route := fmt.Sprintf("route %q", f.Route)
	if f.Route == "" {
		route = "all routes"
	}
	return fmt.Sprintf("%s, %s%s: %d of %d on the new version, %d of %d on the old one",
		route, f.Signal, bound, fresh.Events, fresh.Trials, old.Events, old.Trials)
}
