// Package move shifts the traffic of a service from one version to another in
// steps, and returns it to the old version if the new one proves bad.
//
// Evidence of both versions is counted per route and node in grow-only counters
// that nodes merge by maximum. Both versions are compared over the same time and
// per route; see Test for the sequential test and its error rates. The comparison
// leads to three kinds of action:
//
//   - Mark (local): a node that detects a fault marks the version as bad. That node
//     and every node that receives the mark send the version no new requests. Marks
//     are never removed.
//   - Roll back (durable): any node may record the move as rolled back in the store,
//     without a lease, because this is the safe direction. The state is terminal.
//   - Advance (leased and fenced): only the lease holder raises the share, in steps
//     that are paced to finish in time and limited by the ready capacity.
//
// Invariants: an unproved version gets at most Options.MaxUnprovedShare of the
// requests; a marked version gets no requests; a rolled-back move stays rolled
// back. A store outage or a paused lease holder stops the advance but never prevents
// a mark.
//
// The package does no I/O; subpackage mover drives it.
package move
