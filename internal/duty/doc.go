// Package duty does what one node at a time owes the platform: it reports the
// usage of each window, and orders endpoints.
//
// The right is a lease with a growing fencing number. The counts of each node lie
// in the store, so that a new holder has those of a node that died. A report is
// written to the store before it is sent: whoever sends it again sends the same.
//
// Invariants:
//   - A window is reported with one set of counts, whoever reports it.
//   - A call is begun only while the lease is held, and ends before the next
//     holder's right begins.
package duty
