// Package rollout moves the requests of a service to another version of its
// endpoints, on a platform that starts these endpoints itself and wants to know by a
// deadline whether the move is done or undone.
//
// It is smaller than package move: the platform names one target and a deadline, and
// stops the old endpoints as soon as the move is reported as done. A Gate is a
// deterministic state machine. Every node sends the target a small share, counts how
// requests end by version and route, and sees the counts of the other nodes. A node
// that finds the target bad sends it nothing from then on and tells the others; that
// needs nobody's leave. The holder of the duties alone reports the outcome.
//
// Invariants:
//   - An unproved version has at most Share of a service's requests.
//   - A version that was found bad gets no request, whatever is said of it later,
//     until another move names it.
package rollout
