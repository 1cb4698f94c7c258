package move

import (
	"fmt"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Finding is the result of the comparison of one route by one signal.
type Finding struct {
	Route  ident.RouteName `json:"route,omitempty"` // empty: all routes
	Signal Signal          `json:"signal"`
	// Old and New count the compared requests since the start of the move, OldRecent
	// and NewRecent those of the last one to two minutes.
	Old       ArmCount `json:"old"`
	New       ArmCount `json:"new"`
	OldRecent ArmCount `json:"old_lately"`
	NewRecent ArmCount `json:"new_lately"`
	// Bound is the limit beyond which a response counts as slow, in milliseconds, or
	// as short, in tokens or bytes.
	Bound float64 `json:"bound,omitempty"`
	// LogEValue is the natural logarithm of the e-value, corrected for the number of
	// tests; the higher, the stronger the evidence against the new version.
	LogEValue float64 `json:"odds"`
}

// String returns the finding as a phrase for texts shown to operators.
func (f Finding) String() string {
	oldArm, newArm := f.OldRecent, f.NewRecent
	if newArm.Trials == 0 {
		oldArm, newArm = f.Old, f.New
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
		route, f.Signal, bound, newArm.Events, newArm.Trials, oldArm.Events, oldArm.Trials)
}
