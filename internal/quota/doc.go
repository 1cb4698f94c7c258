// Package quota enforces the rate limits of workspaces across all nodes.
//
// A Ledger is a deterministic state machine on one node. For each workspace it has a
// token bucket with the limit of the whole fleet. This node's spending is deducted at
// once, that of the other nodes when they report it. The level of a bucket may become
// negative, so that concurrent spending on several nodes is paid back later.
//
// A node that has been silent for SilenceTimeout may still be spending. From then on the
// nodes that still reach each other refill their buckets only with their own share of
// the rate and reserve the share that the silent nodes had. Both sides of a network
// partition compute the shares from the same figures, so that they add up to the limit.
//
// Invariant: while all nodes compute the same shares, what they admit together stays
// within rate × time + burst, plus what is spent within one exchange of node state.
package quota
