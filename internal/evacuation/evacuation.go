// Package evacuation knows which data centres the operators have taken out of use.
//
// While a data centre is evacuated, nothing is sent to its endpoints. The operators write an
// entry to the store and remove it when the data centre may be used again. Nodes pass on what
// they know with their states, so that one that is cut off from the store, or has just started,
// learns of an evacuation from the others.
//
// Set is a deterministic state machine. Of several statements about a data centre the latest
// counts, by the version of the entry: its removal is later than the entry itself, and a new entry
// has a higher version. An older state, of another node or of a store that was restored from a
// copy, therefore never brings an evacuation back or ends one.
package evacuation

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

const (
	// removalRetention is how long the removal of an entry is kept, to answer older states.
	removalRetention = 10 * time.Minute
	// lostRetention is how long an evacuation stays in force whose entry a restored store has
	// lost. The operators write it again if it is to stay.
	lostRetention = 2 * time.Minute
	// MaxStatements bounds the statements that a node keeps and sends: there are a few tens of
	// data centres.
	MaxStatements = 256
)

// Statement is what the store has stated last about a data centre.
type Statement struct {
	DataCentre ident.DataCentre
	// Version is that of the entry.
	Version platformapi.Version
	// Removed reports whether the entry was removed.
	Removed bool
}

// laterThan reports whether s counts, and not o.
func (s Statement) laterThan(o Statement) bool {
	return s.Version > o.Version || s.Version == o.Version && s.Removed && !o.Removed
}

// Change is the beginning or the end of an evacuation at this node.
type Change struct {
	DataCentre ident.DataCentre
	Begins     bool
	Version    platformapi.Version
}

// Set contains the evacuations that a node knows of. It is not safe for concurrent use.
type Set struct {
	entries map[ident.DataCentre]entry
}

type entry struct {
	Statement
	at     time.Time
	lostAt time.Time // when a restored store first lacked the entry; zero otherwise
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{entries: make(map[ident.DataCentre]entry)} }

// Evacuated reports whether nothing may be sent to the endpoints of a data centre.
func (s *Set) Evacuated(dc ident.DataCentre) bool {
	e, ok := s.entries[dc]
	return ok && !e.Removed
}

// InForce returns the evacuated data centres in alphabetical order.
func (s *Set) InForce() []ident.DataCentre {
	var out []ident.DataCentre
	for dc, e := range s.entries {
		if !e.Removed {
			out = append(out, dc)
		}
	}
	slices.Sort(out)
	return out
}

// Record applies statements of the store or of another node and returns the changes.
func (s *Set) Record(now time.Time, list []Statement) []Change {
	var out []Change
	for _, st := range list {
		old, known := s.entries[st.DataCentre]
		if st.DataCentre == "" || known && !st.laterThan(old.Statement) {
			continue
		}
		if !known && len(s.entries) >= MaxStatements {
			continue
		}
		s.entries[st.DataCentre] = entry{Statement: st, at: now}
		if wasEvacuated := known && !old.Removed; wasEvacuated == st.Removed {
			out = append(out, Change{st.DataCentre, !st.Removed, st.Version})
		}
	}
	return out
}

// Remove records that the store has removed the entry of a data centre.
func (s *Set) Remove(now time.Time, dc ident.DataCentre) []Change {
	e, ok := s.entries[dc]
	if !ok {
		return nil
	}
	e.Removed = true
	return s.Record(now, []Statement{e.Statement})
}

// Replace applies the complete list of entries in an era of the store. An entry that is missing
// was removed, unless the store was restored since it was written: then it may have been lost.
func (s *Set) Replace(now time.Time, era platformapi.Era, list []Statement) []Change {
	out := s.Record(now, list)
	for dc, e := range s.entries {
		listed := slices.ContainsFunc(list, func(st Statement) bool { return st.DataCentre == dc })
		switch {
		case listed:
			e.lostAt = time.Time{}
			s.entries[dc] = e
		case e.Removed:
		case e.Version.Era() >= era:
			out = append(out, s.Remove(now, dc)...)
		case e.lostAt.IsZero():
			e.lostAt = now
			s.entries[dc] = e
		}
	}
	return sorted(out)
}

// Expire ends evacuations whose entries are lost, and drops old removals.
func (s *Set) Expire(now time.Time) []Change {
	var out []Change
	for dc, e := range s.entries {
		switch {
		case !e.lostAt.IsZero() && now.Sub(e.lostAt) > lostRetention:
			out = append(out, s.Remove(now, dc)...)
		case e.Removed && now.Sub(e.at) > removalRetention:
			delete(s.entries, dc)
		}
	}
	return sorted(out)
}

// Statements returns what the node knows, for the other nodes.
func (s *Set) Statements() []Statement {
	out := make([]Statement, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, e.Statement)
	}
	slices.SortFunc(out, func(a, b Statement) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}

func sorted(list []Change) []Change {
	slices.SortFunc(list, func(a, b Change) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return list
}
