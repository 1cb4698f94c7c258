// Package fleet decides which hosts of a service to buy and to release, and which
// version a new engine is to load.
//
// The package does no I/O. A driver passes its observations and the outcomes of
// earlier actions to a Planner, and executes the actions that the Planner returns.
//
// Invariants:
//
//   - Nothing is bought or released unless the committed plan contains it. A plan is
//     committed by a conditional update of one object, so a holder whose lease has
//     passed to another node can't commit, and its purchases carry tokens of the
//     committed plan.
//   - Each purchase belongs to a slot, and its token is derived from the slot's number.
//     After a lost response, a restart or a change of holder the same token is sent
//     again, so no second host is bought. A slot whose purchase may have taken effect
//     stays in the plan until its host is known or the cloud has refused the purchase.
//     One case is not covered: a former holder's purchase that is delayed for longer
//     than the lease and arrives after the cloud refused the same token to the successor.
//   - A host is released only after it was drained and has no accepted requests. Only
//     the holder that started a drain may cancel it, because an earlier holder may
//     already have sent the release.
//   - No host is drained while the demand at some nodes is unknown.
//   - No drain reduces the ready capacity below what the demand needs after the loss
//     of any one data centre.
package fleet
