// Package peer holds the membership and the soft state that nodes share.
//
// A Node is a deterministic state machine: it takes the caller's now, messages
// and a seeded random source, and returns the messages to send. It does no I/O.
//
// Two kinds of state are replicated.
//
// Logs. Each node owns a local log, which stays in its data centre, and, where it
// publishes to other data centres, a fleet log. A log has the owner's incarnation
// and a sequence number that grows with every change and every heartbeat. A
// digest says how far each copy reaches; the answer brings the entries above that.
//
// Marks. A mark is a grow-only register outside any log: the highest number of a
// subject wins, wherever it came from. Marks are sent on at once by every node
// that learns them, and reconciled by hashes in digests.
//
// Invariants:
//   - IncarnationGrows: the incarnation held of a node never falls.
//   - LeavingMarkGrows: the number of a mark never falls while it is kept.
//   - A member is declared gone only where two witnesses hold it to be silent, or
//     where no second witness exists.
//
// Time is the sum of the caller's steps, each clamped to two intervals. A clock
// that jumps, or a process that was paused, can so never age the others' state at
// once. A log learnt second-hand counts as alive only after it was seen to
// advance, so that a returning node cannot revive members that are gone.
package peer
