// Package sharing exchanges gossip state between the nodes of a deployment: what each
// node has spent of the workspaces' limits, its load at the endpoints, and its versions
// of the configuration and of the store's registrations.
//
// Each node stores a state for every node. In each round it sends its own state to a few
// other nodes, with a digest of the heartbeats that it has, and they return the states
// that it lacks. Of two states of a node, that of the later incarnation wins, then that
// with the higher heartbeat. A state thus reaches each node about once, within a few
// rounds, even if some nodes can't reach each other directly.
// There is no agreement on states, and they may be out of date; they save calls to the
// store.
//
// A few nodes watch the platform's store directly; the others get its changes from them.
//
// Invariant: the state of a node never goes back to an earlier incarnation or heartbeat.
package sharing
