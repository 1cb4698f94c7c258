// Package attempt is the life of one request as a deterministic state machine:
// dispatch, first byte, stream offset, retry, hedge, resume, hand-over, giving up.
//
// Events are evidence from the transport only. What was never connected, or was
// refused with an explicit "not run", did not run; all else may have.
//
// The rules:
//
//   - An idempotent request is dispatched again after any failure, within its
//     deadline and the retry budget. Any other is dispatched again only where
//     every attempt so far is proved not to have run.
//   - A chunk belongs to the answer only where it echoes the request ID and the
//     ID of the attempt that it came on, and goes on at the offset delivered so
//     far. Crossed chunks and duplicates are dropped and counted; a gap fails the
//     attempt.
//   - One attempt at a time is the source of an answer. The first that brings a
//     chunk becomes it; the others are cancelled. Tokens of two attempts are never
//     mixed except at a resume, whose attempt was given all text delivered before.
//   - An answer ends with a chunk that says why it finished, a token count that
//     matches where one is given, and the end mark. Anything else is a truncated
//     answer, and so a failure.
//   - A request that is given up gets its error at once.
//   - A redispatch that an announced reclaim causes costs no retry budget.
package attempt
