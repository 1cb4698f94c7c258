// Package route chooses the endpoint of each request.
//
// A Table is a deterministic state machine: it is told of hosts, leaving marks,
// load reports, cache events and this node's own dispatches, and Pick returns the
// endpoint with the least estimated time to first token:
//
//	queue wait + uncached prompt tokens × prefill cost + network
//
// Load reports lag, and every node reads the same ones. The queue wait is
// therefore the reported backlog, less what the endpoint has worked off since,
// plus this node's dispatches since, plus those that the other nodes have likely
// made in the same time. Only a few endpoints are compared for each request: some
// drawn at random, the rendezvous-hash homes of the prompt's prefix, and the
// holders of its longest cached prefix. The last two must keep a bounded load.
//
// Invariants:
//   - A leaving mark of a host incarnation is never taken back; the host list
//     saying "live" does not clear it. Only a higher incarnation is unmarked.
//   - A leaving, ejected or excluded endpoint is never picked.
//   - At most Options.MaxEjected of a pool's endpoints are ejected at once, so
//     that a wave of failures leaves endpoints to serve. Where a pool shrinks below
//     that, its ejections don't count.
//   - A version is picked by its share. A version without endpoints passes its
//     work on only to one marked as a fallback.
//   - State does not grow with the fleet: load, prefix and ejection state are kept
//     for at most MaxCandidates endpoints of each service and version.
//
// A Table is not safe for use by several goroutines; package picker wraps it.
package route
