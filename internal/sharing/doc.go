// Package sharing exchanges soft state between the nodes of a deployment: what
// each node spends of the workspaces' limits, runs at the endpoints and knows of
// the configuration.
//
// Every node keeps a row for each node. In each round it tells its own row to a few
// others and asks them for those that it lacks, by a digest of the beats it has; a row
// with a higher beat wins. A row therefore comes to each node about once, within a few
// rounds, also where the nodes can't reach each other. Nothing here is agreed on: rows
// save calls to the store, and what they say may be old.
//
// A few nodes follow the platform's store for all; the others have its changes from
// them.
//
// Invariant: a row of a node never goes back to an earlier life or beat.
package sharing
