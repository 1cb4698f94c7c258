// Package walltime keeps the time of day while clocks of hosts are stepped.
//
// A Clock follows the host's time of day, but counts on by the time since boot, which
// no step moves and which a suspended host does not lose, while the two disagree. What
// other nodes take for the time decides where most of them agree: a process that
// starts on a host whose clock is wrong has nothing else to go by.
//
// Invariants:
//   - A step of the clocks of less than half of the nodes moves no node's time, save
//     that of a process that started meanwhile and has not heard of others yet.
//   - A clock that stays where it was stepped to is followed in the end, so that one
//     that was set right is not distrusted for good.
package walltime
