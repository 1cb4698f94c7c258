// Package scaling decides how many endpoints of a service to have, where, and of
// which kind.
//
// A Planner is a deterministic state machine: it is told of the endpoints and of
// the work, and returns orders. Reclaimable endpoints are cheap, but all of a data
// centre may be taken away at once, and for a while there may be no others. A
// floor of lasting endpoints therefore carries what must go on through a wave of
// reclaims; the rest is reclaimable while it can be had, and lasting while not.
package scaling
