// Package move leads a service from one version to another and takes a bad
// version back by itself.
//
// Evidence of both versions is counted per route and node in grow-only counters
// that nodes merge by maximum. Both arms are compared at the same time and per
// route; see Test for the sequential test and its error rates. Three powers act
// on the comparison:
//
//   - Brake, local: a node that sees the fault marks the version as bad. It and
//     every node that hears of the mark send it no new request. Marks only grow.
//   - Undo, durable: any node may record it in the store, without a lease, as it is
//     the safe direction. It is terminal for that move.
//   - Advance, leased and fenced: only the lease's holder raises the share, by
//     steps, paced to finish in time and bounded by the ready capacity.
//
// Invariants: a version not proved yet has at most Options.SmallShare of the
// requests; a marked version gets no work; an undone move stays undone. A store
// outage or a paused holder stops the advance and never the brake.
//
// The package does no I/O; subpackage mover drives it.
package move
