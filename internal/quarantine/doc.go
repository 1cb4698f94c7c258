// Package quarantine finds prompt segments that crash endpoints and holds back the requests
// with them.
//
// Pattern: query of death. A request that crashes the endpoint that begins to answer it is
// sent on to the next one by retries, or comes again from other callers, until no endpoint is
// left. A crash also ends the other requests at the endpoint, so that one crash alone says
// little about any of them. Two facts do: a segment that crashes endpoints is in an
// unanswered request at each crash, one after the other, and no request with it has been
// answered meanwhile.
//
// A Tracker is a deterministic state machine. It counts, for each segment, the crashes of
// different endpoints since the last answer. Crashes count only one after the other: a crash
// at which the request had been dispatched before the crash that was counted last may have
// the same cause. Segments that were answered before need more crashes, and those at which a
// request with a held segment was at the endpoint don't count for them.
//
// Nodes exchange their crashes, and for the segments of these crashes when they last saw an
// answer. Each node decides by itself and reverses the decision when an answer becomes known.
// After a settling time, in which the answers of other nodes arrive, the segment is held for
// HoldTime, and that decision is spread and stored. After a hold, one more crash is enough.
//
// Invariants:
//   - A segment with an answer later than its crashes is not suspected.
//   - Crashes at the same moment, of however many endpoints, count as one.
package quarantine
