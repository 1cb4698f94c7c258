// Package sharedkey authenticates operators' calls by the key that all nodes share.
// Calls between nodes are signed one by one; see package gossip.
package sharedkey

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
)

const header = "X-Operator-Token"

// refusal is the problem document of a call without the key.
const refusal = `{"title":"The key is not accepted.","status":401,"code":"unauthorized","verdict":"not-run"}`

// Key is the secret that the nodes and operators of a deployment share.
type Key string

// token is sent instead of the key, so that the key itself never crosses the network.
func (k Key) token() string {
	mac := hmac.New(sha256.New, []byte(k))
	_, _ = mac.Write([]byte("jujubeshed operator call"))
	return hex.EncodeToString(mac.Sum(nil))
}

// Handler lets only calls with the key pass to next; rejected is called for each other one.
func (k Key) Handler(next http.Handler, rejected func()) http.Handler {
	want := []byte(k.token())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(header)), want) != 1 {
			rejected()
			w.Header().Set("Content-Type", "application/problem+json")
			w.WriteHeader(http.StatusUnauthorized)
			_, _ = w.Write([]byte(refusal))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Transport adds the key to calls that go through base.
func (k Key) Transport(base http.RoundTripper) http.RoundTripper {
	return transport{base: base, token: k.token()}
}

type transport struct {
	base  http.RoundTripper
	token string
}

// RoundTrip sends a copy of the request with the token.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(header, t.token)
	return t.base.RoundTrip(r)
}
