// Package gossip runs a peer.Node over connect-go.
//
// The Service provides the clock, the connections and the lock; the node makes all
// decisions. Messages are sent as unary calls, each in its own goroutine and limited
// in number and time, so that a slow peer delays no other. Messages from the node to
// the caller of an exchange are returned in the response.
//
// Calls are authenticated by a key that all nodes share: a request carries an HMAC of
// its path, a random nonce and its body, and the response one of the path and that
// nonce. A replayed request is harmless, since the state is merged by maximum.
package gossip
