package site

import (
	"slices"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Region names a group of data centres.
type Region string

// Homes are the regions to which a request is bound, one list for each rule that binds it. All
// rules bind; an empty list binds nothing.
type Homes [][]Region

// HomesOf returns the homes of a request: those of its route and of its workspace, which may be
// nil.
func HomesOf(r *Route, w *Workspace) Homes {
	var out Homes
	if len(r.Regions) > 0 {
		out = append(out, r.Regions)
	}
	if w != nil && len(w.Regions) > 0 {
		out = append(out, w.Regions)
	}
	return out
}

// Allow reports whether a request with these homes may be sent to a region.
func (h Homes) Allow(r Region) bool {
	for _, list := range h {
		if len(list) > 0 && !slices.Contains(list, r) {
			return false
		}
	}
	return true
}

// Regions maps the data centres of a deployment to their regions.
type Regions map[ident.DataCentre]Region

// Allow reports whether a request with some homes may be sent to a data centre. A data centre
// whose region isn't known is no home.
func (r Regions) Allow(h Homes, dc ident.DataCentre) bool { return len(h) == 0 || h.Allow(r[dc]) }
