// Package gossip drives a peer.Node over connect-go.
//
// The Service owns the clock, the sockets and the lock; all decisions are the
// node's. Messages go out as unary calls, each in a goroutine of its own and
// bounded in number and time, so that a slow peer holds up no other. What the
// node sends back to the caller of an exchange travels in the answer.
//
// Calls are authenticated by a key that all nodes share: a request carries an
// HMAC over its path, a random nonce and its body, and the answer one over that
// nonce. A replayed request is harmless, since the state is merged by maximum.
package gossip
