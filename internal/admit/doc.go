// Package admit decides which requests a node takes, in which order, and which it
// refuses.
//
// A Controller is a deterministic state machine. A request is admitted at once
// where there is room, queued where it can start in time, and refused at once with
// verdict NotRun and a time to come back where it can't.
//
// Limits. A workspace has a rate and a concurrency over all nodes; a node enforces
// its share, the limit divided by the live nodes. A partition makes nodes see fewer
// live ones than there are. The divisor therefore never falls below half of the
// recent peak, so that all nodes together admit at most MaxOvershoot times the
// limit however they are cut off, plus what rounding up to one request a node adds.
//
// Slots. The last few slots of a service are kept for orders and for workspaces
// with less than an even share in flight, so that a small one seldom queues. Long
// work also leaves the square root of the higher classes' requests in flight free.
//
// Order. Classes go by priority: order, quick, lookup, long. Within a class the
// workspaces share by start-time fair queueing (Goyal, Vin, Cheng 1996), so that a
// large one delays only itself. Work of a lower class that has waited long enough
// is aged: it goes first, in a bounded part of the slots, so that it ends under a
// steady stream of higher classes, which keep the rest. Shedding goes the other
// way: long first, order last.
//
// Invariants:
//   - AdmittedWithinLimit: a grant leaves the workspace within the node's share of
//     its limit and the service within its capacity.
//   - QueuedEndsByDeadline: a queued request is granted or refused by its deadline.
package admit
