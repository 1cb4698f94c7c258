// Package lease grants a duty to one node at a time, with a fencing token (the epoch),
// using only conditional updates of one object in the store.
//
// Invariants and their assumptions:
//
//   - An epoch has one holder, as long as nobody deletes the object. The epoch grows with each change of holder, and
//     when a holder resumes after its lease has lapsed; it is written by conditional update.
//   - A holder stops acting before another node can take over. It measures HoldTime from
//     the start of its last successful renewal, by its monotonic or its wall clock,
//     whichever advanced further, so that neither a stopped process nor a suspended
//     machine extends its lease. A wall clock that is set back ends the lease as well, as
//     the change could hide a suspension. (A change that compensates for a suspension to
//     within HoldTime can't be detected; then only the fencing token protects.) An observer
//     measures Term from the time it first saw the record unchanged, by its monotonic
//     clock only, so that a jump of the wall clock never shortens a lease. HoldTime is
//     shorter than Term by a margin that covers the drift between two clocks.
//   - An action that was started in time may still arrive late, from a process that was
//     paused between its check of the lease and the action. Endpoints that check the
//     fencing token refuse it. For endpoints that do not, the next holder waits until
//     Settled, reads the state of the endpoint and orders the desired state again.
//   - An action that a partition holds up arrives after it, however long it lasts. The driver
//     discards what it gives up, and where that may not be enough, acts only while the lease
//     is Confirmed: the partition is then most likely younger than ConfirmTime.
//
// The approach follows C. Gray and D. Cheriton, "Leases: an efficient
// fault-tolerant mechanism for distributed file cache consistency", SOSP 1989,
// with the fencing token of M. Burrows, "The Chubby lock service for
// loosely-coupled distributed systems", OSDI 2006 (there: sequencer).
//
// The package does no I/O; subpackage holder drives it.
package lease
