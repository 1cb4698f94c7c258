// Package rollout moves the requests of a service to another version of its
// endpoints, on a platform that starts these endpoints itself and requires a report
// by a deadline whether the move is done or rolled back.
//
// It is simpler than package move: the platform sets one target version and a
// deadline, and stops the old endpoints as soon as the move is reported as done. A
// Gate is a deterministic state machine. Every node sends the target a small share of
// the requests, counts how requests end by version and route, and receives the counts
// of the other nodes. A node that finds the target bad sends it no more requests and
// advertises this to the others, without waiting for their agreement. Only the holder
// of the duties reports the outcome.
//
// Invariants:
//   - An unproved version gets at most the share of a service's requests that the
//     Gate was created with.
//   - A version that was found bad gets no request, whatever evidence follows, until
//     another move has it as its target.
package rollout
