// Package sharing exchanges soft state between the nodes of a deployment: what
// each node spends of the workspaces' limits, runs at the endpoints and knows of
// the configuration.
//
// Every node keeps a row for each node, and in each round exchanges all rows with
// a few others; a row with a higher beat wins. A row therefore reaches all nodes
// within a few rounds, also those that the node itself can't reach. Nothing here
// is agreed on: rows save calls to the store, and what they say may be old.
//
// Invariant: a row of a node never goes back to an earlier life or beat.
package sharing
