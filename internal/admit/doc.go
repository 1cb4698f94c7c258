// Package admit implements admission control: it decides which requests a node
// admits, in which order, and which it refuses.
//
// A Controller is a deterministic state machine. A request is admitted immediately
// if there is a free slot, queued if it can start in time, and otherwise refused
// immediately with verdict NotRun and a retry delay.
//
// Limits. A workspace has a rate limit and a concurrency limit over all nodes. Each
// node enforces its share, the limit divided by the number of live nodes. During a
// network partition a node sees fewer live nodes than there are. The divisor
// therefore never falls below half of the recent peak, so that all nodes together
// admit at most MaxOvershoot times the limit under any partition, plus at most one
// request per node because shares are rounded up.
//
// Slots. The last few slots of a service are reserved for orders and for workspaces
// that use less than an even share of the slots, so that small workspaces seldom
// queue. Requests of class long also leave free slots for the higher classes: the
// square root of the number of requests that those have in flight.
//
// Order. Classes have strict priority: order, quick, lookup, long. Within a class,
// workspaces share the slots by start-time fair queueing (Goyal, Vin, Cheng 1996), so
// that a large workspace delays only itself. A request of a lower class that has
// waited long enough is aged: it goes ahead of the higher classes. Aged requests use
// a bounded share of the slots, so that lower classes make progress under constant
// load of higher classes, which keep the remaining slots. Shedding uses the reverse
// order: long first, order last.
//
// Invariants:
//   - AdmittedWithinLimit: a grant leaves the workspace within the node's share of
//     its limit and the service within its capacity.
//   - QueuedEndsByDeadline: a queued request is granted or refused by its deadline.
package admit
