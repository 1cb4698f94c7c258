// Package walltime provides a time of day that is robust against steps of the hosts'
// clocks.
//
// A Clock follows the host's time of day. While that disagrees with the time since
// boot, the Clock advances by the latter, which clock steps do not change and which
// includes the time that the host was suspended. A time on which the majority of nodes
// agree takes precedence: it is the only way for a process that starts on a host with
// a wrong clock to correct its time.
//
// Invariants:
//   - A step of the clocks of less than half of the nodes changes no node's time, except
//     that of a process that started meanwhile and has not received the time of other
//     nodes yet.
//   - A clock that does not step back is followed eventually, so that a clock that was
//     corrected is trusted again.
package walltime
