package bytebudget

import "net/http"

// Handler returns a handler that takes the memory for the bodies of requests from a budget while they
// are read, for handlers that keep a message in memory until it is complete. The memory is returned
// when the handler returns.
func Handler(b *Budget, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		meter := NewMeter(b)
		defer meter.Release()
		r.Body = &meteredBody{body: r.Body, meter: meter}
		next.ServeHTTP(w, r)
	})
}
