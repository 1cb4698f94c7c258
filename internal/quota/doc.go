// Package quota divides the limits of workspaces between the nodes.
//
// A Ledger is a deterministic state machine on one node. Each workspace has a
// bucket for the whole fleet: this node's spending leaves it at once, that of the
// other nodes when they tell of it. A bucket may fall below zero, so that what was
// spent at the same time elsewhere is made up for.
//
// A node that has not been heard of for SilenceTimeout may still spend. From then on
// the nodes in touch with each other refill their buckets only with their own
// part of the rate: the lost nodes keep the part that they had. Both sides work
// the parts out from the same figures, so that they add up to the limit.
//
// Invariant: while all nodes see the same parts, what they admit together stays
// within rate × time + burst, plus what is spent within one exchange.
package quota
