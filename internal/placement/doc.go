// Package placement chooses the endpoint of each request by an estimate of the load of the
// endpoints.
//
// A Table is a deterministic state machine. Its inputs are the list of endpoints, this
// node's own dispatches and their progress, the load of the other nodes and the load that
// endpoints report in their responses. For each endpoint it estimates the time to the
// first event of a request:
//
//	prefill queued ahead + prefill of the uncached prompt + cost of the running batch
//
// Requests that share prompt segments go to an endpoint that likely has them in its KV
// cache, because this node or another one has sent them there, or to one that fetches them
// from there. Where no location of the prefix is known, requests go to its home endpoint,
// the rendezvous hash of the last shared segment, which all nodes compute alike. The same
// estimate prefers an idle endpoint to a busy one that has the prefix or is its home.
//
// Invariants:
//   - A leaving endpoint is never chosen, and a missing one (no longer listed) only while
//     its service has no other.
//   - An endpoint that fails is ejected for a time, but never more than a fraction of the
//     endpoints of its service at once.
package placement
