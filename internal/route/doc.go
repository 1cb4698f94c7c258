// Package route chooses the endpoint of each request.
//
// A Table is a deterministic state machine. Its inputs are host lists, leaving
// marks, load reports, cache events and this node's own dispatches. Pick returns
// the endpoint with the lowest estimated time to first token:
//
//	queue wait + uncached prompt tokens × prefill cost + network
//
// Load reports lag, and every node receives the same ones. The queue wait is
// therefore computed from the reported backlog, minus what the endpoint has
// processed since the report, plus this node's dispatches since then, plus an
// estimate of the other nodes' dispatches in the same time. Only a few endpoints
// are compared for each request: some drawn at random, the home endpoints of the
// prompt's prefix (chosen by rendezvous hash), and the endpoints that have the
// longest prefix of the prompt cached. Homes and endpoints with a cached prefix
// are compared only while their load is below a limit.
//
// Invariants:
//   - A leaving mark of a host incarnation is never removed, even when the host
//     list reports the host as live. Only a higher incarnation is unmarked.
//   - A leaving, ejected or excluded endpoint is never picked.
//   - At most the fraction Options.MaxEjected of a pool's usable endpoints is
//     ejected at once, so that endpoints remain available when many fail together.
//     If a pool shrinks so that more than this fraction is ejected, its ejections
//     are ignored.
//   - A version is picked in proportion to its share. Requests for a version
//     without eligible endpoints go only to versions marked as a fallback.
//   - State does not grow with the fleet: load, prefix and ejection state are kept
//     for at most MaxCandidates endpoints of each service and version.
//
// A Table is not safe for concurrent use; package picker wraps it with a lock.
package route
