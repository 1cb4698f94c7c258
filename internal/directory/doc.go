// Package directory keeps a local copy of the objects in the platform's store: the
// operator's configuration, the endpoints and the version moves.
//
// There is a Watcher for each kind of object. It lists the objects, then watches for
// changes, and lists again if the store has dropped the history that it needs.
// CurrentConfig and Registry store the resulting configuration and endpoints.
//
// Invariants:
//   - The version of the configuration never decreases in an incarnation of the process,
//     whatever the source of an older one.
//   - An incarnation of an endpoint that was leaving gets no new work, whatever the store
//     contains after it was restored from an older copy.
//   - An endpoint that is removed from the list has a short grace period, in which it
//     serves as a last resort: registrations expire while the store is unavailable, and
//     live endpoints register again soon after its return.
package directory
