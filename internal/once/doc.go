// Package once implements an idempotency ledger, by which a non-idempotent request
// runs at most once.
//
// A caller identifies its request by an idempotency key. For each key the ledger
// stores a claim before the request is dispatched, and the outcome afterwards. Keys
// are distributed by hash over bucket objects in the platform's store. Any node may
// write any bucket.
//
// # Correctness
//
// Correctness depends only on the store's conditional update. The assignment of
// buckets to nodes is a hint that reduces conflicts. The rules are:
//
//   - A request is dispatched only after the write of its claim is known to have
//     taken effect (Granted).
//   - A claim carries the ID of the single attempt that it permits. If the response
//     to a write is lost, the bucket is read again, and the attempt ID shows whether
//     the write took effect. Applying a change is therefore idempotent: it is applied
//     again to the state that was read, and detects that it is already contained.
//   - A claim without outcome is never transferred to another attempt. Other nodes
//     may only mark it as unconfirmed (it may have run).
//   - A claim is removed only by its own attempt, if it is certain that the attempt
//     did not and will not run, or when its retention has ended.
//   - If a claim is refused with "not run" after its write was sent, a write of a
//     later version removes it. That write fences off the earlier one, even if that is
//     still in the network.
//   - Finished entries are moved to immutable segments to keep the writes of a bucket
//     small. A segment is stored before the bucket refers to it. The write that adds
//     the reference also removes the entries, and is made only if the bucket still
//     contains all of them. The bucket keeps the hash of each key. A key whose hash is
//     found, but whose segment can't be read, is treated as a request that may have
//     run.
//   - Negative replies (conflict, unconfirmed, wait) are based on a state that was
//     read after the claim arrived. A recorded response is final and may come from
//     memory.
//
// # Paused holders
//
// A claimed key is never run by another attempt, so a late dispatch is still the
// first one, whatever other nodes have reported. A second run would be possible only
// if the holder were paused for longer than the retention: the key would have expired
// and been claimed again. Grant.DispatchBy rules this out: the holder checks it right
// before the dispatch, and it lies seconds after the claim, while the retention is
// hours. Clock errors of less than Options.ClockSkew do no harm.
//
// # Guarantees of the states
//
// "Unconfirmed" is a weak statement and may be replaced: a holder that was presumed
// dead may still record its outcome, or that its request did not run. A recorded
// response is never replaced.
package once
