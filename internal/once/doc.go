// Package once is the ledger that lets a non-idempotent request run at most once.
//
// A caller names its request by an idempotency key. The ledger keeps, for each
// key, a claim that is written before the request is dispatched and the outcome
// that is written after. Keys are hashed over bucket objects in the platform's
// store. Any node may write any bucket.
//
// # What correctness rests on
//
// Only on the store's conditional update. Which node works on a bucket is a hint
// that saves conflicts. The rules are:
//
//   - A request is dispatched only after a write that holds its claim is known
//     to have taken effect (Granted).
//   - A claim carries the ID of the one attempt that it allows. After a lost
//     answer the bucket is read again, and the attempt ID tells whether the write
//     took effect. A change is therefore applied again to whatever state was
//     read, and finds out by itself that it is already there.
//   - A claim without an outcome is never given to another attempt. Other nodes
//     may only turn it into "unconfirmed" (it may have run).
//   - A claim is removed only by its own attempt, which proves that it did not
//     and will not run, or when its retention has ended.
//   - A claim refused with "not run" after its write was sent is removed by a
//     write of a later version. That write fences off the earlier one, even one
//     that is still under way in the network.
//   - Finished entries move to immutable segments, so that a write carries few of
//     them. A segment is stored before the bucket refers to it, in the same write
//     that removes its entries, and only where all of them are still there. The
//     bucket keeps the hash of each key. A hash that is found without its segment
//     being read counts as a request that may have run.
//   - Negative answers (conflict, unconfirmed, wait) rest on a state read after
//     the request arrived. A recorded answer is final and may come from memory.
//
// # A holder that was paused
//
// Nobody else ever runs a claimed key, so a dispatch that comes late is still
// the first one, whatever the others believe. The one way to a second run would
// be a pause longer than the retention: the key would have been forgotten and
// claimed anew. Grant.DispatchBy closes it: the holder checks it right before
// the dispatch, and it lies seconds after the claim, while the retention is
// hours. A clock that is wrong by less than Options.ClockSkew doesn't matter.
//
// # What the states promise
//
// "Unconfirmed" is a weak statement and may be improved: the holder that was
// taken for dead may still record its outcome, or prove that it did not run.
// Nothing improves a recorded answer.
package once
