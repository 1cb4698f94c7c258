// Package quarantine finds requests that crash endpoints and holds back their like: by a prompt
// segment that they have in common, or by the signature of one request that comes again.
//
// Pattern: query of death. A request that crashes the endpoint that begins to run it is
// sent on to the next one by retries, or comes again from callers, until no endpoint is
// left. A crash also ends the other requests at the endpoint, so that one crash alone says
// little about any of them. Two facts do: a trait that crashes endpoints is in an
// uncompleted request at each crash, one after the other, and no request with it has been
// answered meanwhile.
//
// A Tracker is a deterministic state machine. It counts, for each trait, the crashes of
// different endpoints since the last answer. Crashes count only one after the other: a crash
// at which the request had been dispatched before the crash that was counted last may have
// the same cause. Segments that were answered before need more crashes, and those at which a
// request with a held trait was at the endpoint don't count for them. A segment counts as
// answered once an endpoint has done more than begin to answer, and a signature once a
// request with it is complete: some requests crash their endpoint later. Crashes in the middle
// of an answer are weaker evidence, as a stream that is resumed after each crash is at the next
// one, too; they count only where no other trait explains them.
//
// Several traits may be at the same crashes, and no answer distinguishes them: all nodes have just
// started, or few sound requests come for each deadly one. Then only requests with all of these
// traits are held back. Those with some of them go on, so that their answers clear the sound traits.
// The same holds for a signature and the segments at whose crashes it was: different requests may
// have one signature.
//
// Nodes exchange their crashes, and for the traits of these crashes when they last saw an
// answer. Each node decides by itself and reverses the decision when an answer becomes known.
// After a settling time, in which the answers of other nodes arrive, the trait is held for
// HoldTime, and that decision is spread and stored. After a hold, one more crash is enough.
//
// Invariants:
//   - A trait with an answer later than its crashes is not suspected.
//   - Crashes at the same moment, of however many endpoints, count as one.
package quarantine
