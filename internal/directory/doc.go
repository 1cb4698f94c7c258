// Package directory follows the platform's store: the operator's configuration,
// the endpoints and the version moves.
//
// A Watcher per kind of object lists and then watches; it lists again where the
// store has dropped the history it needs. Endpoints and CurrentConfig are the beliefs
// that come of it.
//
// Invariants:
//   - The configuration never goes back to an earlier version in one life of the
//     process, whoever tells of one.
//   - An endpoint that is removed from the list gets a short grace, in which it
//     serves as a last resort: while the store is away registrations lapse, and
//     those of living endpoints are back soon after its return.
package directory
