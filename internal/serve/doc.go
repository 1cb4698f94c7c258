// Package serve is the data plane: it takes a request in the product's own terms,
// finds its workspace and route, charges the workspace's limit, chooses an endpoint
// and carries the attempt machine's actions out until the caller has its answer or
// a truthful refusal.
//
// It speaks no wire format. A caller's side is a Writer, an endpoint's side a
// Transport; adapters implement both.
package serve
