// Package scaling decides how many endpoints of a service to have, where, and of
// which kind.
//
// A Planner is a deterministic state machine: its inputs are the present endpoints
// and their load, its output is a series of orders. Reclaimable endpoints are cheap,
// but all of them in a data centre may be reclaimed at once, and new ones may be
// refused for a while. A minimum of on-demand endpoints therefore keeps each service
// running while reclaimable ones are lost; the rest of the capacity is reclaimable
// where available, and on-demand otherwise.
package scaling
