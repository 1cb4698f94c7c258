// Package placement chooses the endpoint of each request by a model of what the
// endpoints are doing.
//
// A Table is a deterministic state machine. It is told which endpoints there are,
// of this node's own dispatches and their progress, of the other nodes' load and
// of what endpoints say in their answers, and estimates for each endpoint the time
// to the first event of a request:
//
//	prefill ahead of it + its own uncached prompt + what a full batch costs
//
// Requests that share parts of their prompts go where those parts are likely cached, as
// this node or another one has sent them there, or have them fetched from there. Where
// nobody is known to hold them they go to the home that the rendezvous hash of the
// deepest shared part names, on which all nodes agree without a word. A holder or home
// that is busy loses to an idle endpoint by the same estimate.
//
// Invariants:
//   - A leaving endpoint is never chosen, and one that is gone from the list only
//     while its service has no other.
//   - An endpoint that fails is left out for a time, but never more than a part of
//     its service's endpoints.
package placement
