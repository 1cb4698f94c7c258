// Package relay sends requests to endpoints through another node while this node has lost its
// paths to them. Package reach decides when and through which node.
//
// All decisions about a request stay with the node that its caller has reached: admission,
// limits, the choice of the endpoint, retries, the order of events, usage. The other node only
// sends one attempt to one endpoint, over its own connections, and passes the response on. It
// checks what it knows of the endpoint itself (leaving, backing off, replaced by another) right
// before it sends, and does not relay any further. When the caller leaves, the call between the
// nodes ends, and with it the attempt.
//
// An attempt through another node counts as not run only if the call could not be connected, or
// if the other node says so. What a node does for others is bounded in number and bytes.
package relay
