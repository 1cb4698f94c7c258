// Package sharedkey authenticates operators' calls with a key that all nodes share.
// Calls between nodes are signed individually; see package gossip.
package sharedkey

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
)

const tokenHeader = "X-Operator-Token"

// unauthorizedBody is the problem document returned for a call without a valid token.
const unauthorizedBody = `{"title":"The key is not accepted.","status":401,"code":"unauthorized","verdict":"not-run"}`

// Key is the secret that the nodes and operators of a deployment share.
type Key string

// token returns an HMAC made with the key. It is sent in place of the key, so that the key
// itself is never transmitted.
func (k Key) token() string {
	mac := hmac.New(sha256.New, []byte(k))
	_, _ = mac.Write([]byte("jujubeshed operator call"))
	return hex.EncodeToString(mac.Sum(nil))
}

// Handler returns a handler that passes calls with a valid token to next. For every other
// call it calls rejected and responds with 401.
func (k Key) Handler(next http.Handler, rejected func()) http.Handler {
	want := []byte(k.token())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(tokenHeader)), want) != 1 {
			rejected()
			w.Header().Set("Content-Type", "application/problem+json")
			w.WriteHeader(http.StatusUnauthorized)
			_, _ = w.Write([]byte(unauthorizedBody))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Transport returns a RoundTripper that adds the token to each call and sends it through
// base.
func (k Key) Transport(base http.RoundTripper) http.RoundTripper {
	return transport{base: base, token: k.token()}
}

type transport struct {
	base  http.RoundTripper
	token string
}

// RoundTrip implements http.RoundTripper. It sends a copy of the request with the token.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(tokenHeader, t.token)
	return t.base.RoundTrip(r)
}
