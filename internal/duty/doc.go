// Package duty performs the duties that one node at a time has towards the platform:
// it reports the usage of each time window and orders endpoints.
//
// The node that performs them holds a lease with an increasing fencing token. Each
// node writes its usage counts to the store, so that a new lease holder can read those
// of a failed node. A report is written to the store before it is sent, so that a
// repeated report has the same content, whichever node sends it.
//
// Invariants:
//   - A window is always reported with the same counts, whichever node reports it.
//   - A call is started only while the lease is held, and ends before the next
//     holder's lease begins.
package duty
