// Package attempt implements the life cycle of one request as a deterministic state
// machine: dispatch, first byte, stream offset, retry, hedge, resume, handover and
// failure. An attempt is one dispatch of the request to an endpoint.
//
// Events are based on transport evidence only. An attempt for which no connection was
// made, or which the endpoint refused explicitly as "not run", did not run; any other may
// have run.
//
// The rules:
//
//   - An idempotent request is dispatched again after any failure, within its
//     deadline and the retry budget. Any other request is dispatched again only if
//     every attempt so far is proved not to have run.
//   - A chunk is accepted only if it echoes the request ID and the ID of the attempt
//     on which it was received, and continues at the offset delivered so far.
//     Mismatched and duplicate chunks are dropped and counted; a gap fails the
//     attempt.
//   - One attempt at a time is the source of a response. The first that delivers a
//     chunk becomes the source; the others are cancelled. Tokens of two attempts are
//     never mixed except at a resume, whose attempt was given all text delivered before.
//   - A response ends with a chunk that has a finish reason, a token count that
//     matches where one is given, and the end mark of the stream. Anything else is a
//     truncated response, and so a failure.
//   - A request that can't be completed gets its error immediately.
//   - A retry caused by an announced reclaim costs no retry budget.
package attempt
