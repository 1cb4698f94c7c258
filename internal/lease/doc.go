// Package lease gives one node at a time the right to a duty, with a fencing
// number, on nothing but conditional updates of one object.
//
// Invariants, and what they rest on:
//
//   - An epoch has one holder, as long as nobody deletes the object. The epoch grows with each change of holder, and with
//     each resumption after a lapse; it is written by conditional update.
//   - A holder stops acting before anybody may take over. It counts HoldTime from
//     the start of its last successful renewal, by whichever of its monotonic and
//     wall clocks went further, so that neither a stopped process nor a suspended
//     machine stretches its right; a wall clock set back ends the right as well, as
//     it could hide a suspension. (A set-back that makes up for a suspension to
//     within HoldTime cannot be seen; then the fencing number alone protects.) An observer counts Term from the time it first
//     saw the record unchanged, by its monotonic clock only, so that a jump of the
//     wall clock never shortens anybody's right. HoldTime is below Term by a margin
//     that covers the drift between two clocks.
//   - An act that was begun in time may still arrive late, from a process paused
//     between check and act. Endpoints that check the fencing number refuse it. For
//     those that do not, the next holder waits until Settled, reads the endpoint's
//     state and orders the desired end again.
//
// The approach follows C. Gray and D. Cheriton, "Leases: an efficient
// fault-tolerant mechanism for distributed file cache consistency", SOSP 1989,
// with the fencing token of M. Burrows, "The Chubby lock service for
// loosely-coupled distributed systems", OSDI 2006 (there: sequencer).
//
// The package does no I/O; subpackage holder drives it.
package lease
