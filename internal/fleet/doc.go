// Package fleet decides which hosts of a service to buy and to release, and which
// version an engine is to load.
//
// The decision does no I/O. A driver feeds a Planner with what it observed and
// with the outcome of what it did, and executes the actions that come back.
//
// Invariants:
//
//   - Nothing is bought or released that is not in the committed plan. A plan is
//     committed by a conditional update of one object, so a holder whose lease has
//     passed on can't commit, and its purchases carry tokens of the committed plan.
//   - A purchase has a slot, and the slot's number is its token: a lost answer, a
//     restart or a second holder sends the same token and buys no second host. A
//     slot whose purchase may have taken effect stays until its host is known or
//     the cloud has refused it. What is left open: a purchase of an earlier holder
//     that was held up for longer than the lease and a refusal to its successor.
//   - A host is released only after it was drained, and only once it has no
//     accepted work. A drain is taken back only by the holder that began it, as an
//     earlier one may have sent the release already.
//   - Nothing is drained while some of the demand isn't known.
//   - No drain takes the ready capacity below what the demand needs after the loss
//     of any one data centre.
package fleet
