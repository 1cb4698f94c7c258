// Package entry serves callers: it takes requests in, has them admitted and
// sent to endpoints, and returns whole answers.
//
// What holds here:
//
//   - A request is refused before it is accepted, with a problem document and the
//     verdict not-run, or it is accepted and runs to an end of its own.
//   - A caller's connection is not its request. Where the connection ends, the
//     answer goes on and can be fetched at any entry host under its request ID.
//   - A stream that ends without its end mark was cut; an error in the middle of
//     a stream is an event of its own, never a silent end.
package entry
