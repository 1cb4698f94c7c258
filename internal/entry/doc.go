// Package entry implements the HTTP server for callers. It authenticates and admits
// requests, passes them on to endpoints, and returns the responses.
//
// It guarantees:
//
//   - A request is either refused, with a problem document and the verdict not-run,
//     or accepted, and then it ends with a response or an error.
//   - A chat completion doesn't depend on the caller's connection. If the connection
//     is closed, the answer continues and can be fetched from any entry host under
//     its request ID.
//   - A stream without an end event was truncated. An error in mid-stream is sent as an
//     error event; the stream never just ends.
package entry
