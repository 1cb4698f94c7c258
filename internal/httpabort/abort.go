// Package httpabort ends HTTP responses that can't be completed.
package httpabort

import "net/http"

// Abort ends an incomplete response in such a way that the caller can detect it, and doesn't
// return. Over HTTP/1.0, a body without a length ends with its connection: that is reset, as a
// regular close would look like the end of a complete body.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if l, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
				_ = l.SetLinger(0)
			}
			_ = conn.Close()
		}
	}
	panic(http.ErrAbortHandler) // closes the connection without the end mark of the body
}
