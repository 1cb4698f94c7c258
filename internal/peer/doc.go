// Package peer implements the membership and the soft state that nodes share by
// gossip.
//
// A Node is a deterministic state machine: its inputs are the caller's current
// time, messages and a seeded random source, its outputs the messages to send. It
// does no I/O.
//
// Two kinds of state are replicated.
//
// Logs. Each node owns a local log, which is replicated within its data centre,
// and a fleet log, which is replicated to all data centres if it has entries. A
// log has its owner's incarnation and a sequence number that grows with every
// change and every heartbeat. A digest lists the sequence number of each of the
// sender's copies; the response contains the later entries.
//
// Marks. A mark is a grow-only register outside the logs: the highest number of a
// subject wins, whichever node it comes from. Every node relays a new mark at once;
// hashes in digests reconcile the sets of marks (anti-entropy).
//
// Invariants:
//   - IncarnationGrows: the stored incarnation of a node never decreases.
//   - LeavingMarkGrows: the number of a mark never decreases while it is stored.
//   - A member is declared gone only if two witnesses find it silent, or if no
//     second witness exists.
//
// A node's clock is the sum of the steps between the caller's times, each clamped
// to the range from zero to two intervals, so that a jump of the caller's clock or
// a pause of the process cannot make the state of all others expire at once. A log
// received from a node other than its owner counts as alive only after it has
// advanced, so that a returning node cannot revive members that are gone.
package peer
