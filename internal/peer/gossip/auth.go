package gossip

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Headers that authenticate calls between nodes.
const (
	headerNonce = "X-Peer-Nonce"
	headerMAC   = "X-Peer-Mac"
)

const (
	nonceBytes = 12
	// MinKeyBytes is the least length of a shared key.
	MinKeyBytes = 16
	// MaxBodyBytes bounds the body of a call.
	MaxBodyBytes = 4 << 20
)

// Errors of the authentication.
var (
	ErrKeyTooShort = errors.Newf("shared key has fewer than %d bytes", MinKeyBytes)
	ErrNotPeer     = errors.New("answer is not signed with the shared key")
)

// signer makes and checks the codes of calls.
type signer struct{ key []byte }

func (s signer) request(path, nonce string, body []byte) string {
	return s.sign([]byte("request\n"), []byte(path), []byte("\n"+nonce+"\n"), body)
}

func (s signer) answer(path, nonce string) string {
	return s.sign([]byte("answer\n"), []byte(path), []byte("\n"+nonce))
}

func (s signer) sign(parts ...[]byte) string {
	h := hmac.New(sha256.New, s.key)
	for _, p := range parts {
		h.Write(p)
	}
	return base64.RawStdEncoding.EncodeToString(h.Sum(nil))
}

func equal(a, b string) bool {
	return hmac.Equal([]byte(a), []byte(b))
}

// transport signs requests and refuses answers that aren't signed.
type transport struct {
	signer
	base    http.RoundTripper
	metrics *Metrics
}

var _ http.RoundTripper = (*transport)(nil)

// RoundTrip sends a request whose body is read in full first.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := readAll(r.Body)
	if err != nil {
		return nil, err
	}
	nonce := newNonce()
	signed := r.Clone(r.Context())
	signed.Body = io.NopCloser(bytes.NewReader(body))
	signed.ContentLength = int64(len(body))
	signed.Header.Set(headerNonce, nonce)
	signed.Header.Set(headerMAC, t.request(r.URL.Path, nonce, body))
	t.metrics.SentBytes.Add(float64(len(body)))
	res, err := t.base.RoundTrip(signed)
	if err != nil {
		return nil, err
	}
	if !equal(res.Header.Get(headerMAC), t.answer(r.URL.Path, nonce)) {
		_ = res.Body.Close()
		t.metrics.refuse(refusedAnswer)
		return nil, errors.Wrapf(ErrNotPeer, "answer of %s with status %d", r.URL.Host, res.StatusCode)
	}
	return res, nil
}

func readAll(body io.ReadCloser) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	b, err := io.ReadAll(io.LimitReader(body, MaxBodyBytes+1))
	if err != nil {
		return nil, errors.CombineErrors(err, body.Close())
	}
	if len(b) > MaxBodyBytes {
		return nil, errors.CombineErrors(errors.Newf("body is longer than %d bytes", MaxBodyBytes), body.Close())
	}
	return b, body.Close()
}

func newNonce() string {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b) // crypto/rand never fails
	return base64.RawStdEncoding.EncodeToString(b)
}

// Authenticate wraps a handler of calls between nodes: it refuses and counts those
// that aren't signed with the shared key, and signs the answers.
func (s *Service) Authenticate(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := readAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
		if err != nil {
			s.metrics.refuse(refusedGarbled)
			http.Error(w, "body can't be read", http.StatusBadRequest)
			return
		}
		nonce := r.Header.Get(headerNonce)
		if !equal(r.Header.Get(headerMAC), s.request(r.URL.Path, nonce, body)) {
			s.metrics.refuse(refusedKey)
			http.Error(w, "call is not signed with the shared key", http.StatusUnauthorized)
			return
		}
		s.metrics.ReceivedBytes.Add(float64(len(body)))
		r.Body = io.NopCloser(bytes.NewReader(body))
		w.Header().Set(headerMAC, s.answer(r.URL.Path, nonce))
		h.ServeHTTP(&watcher{ResponseWriter: w, metrics: s.metrics}, r)
	})
}

// watcher counts the signed calls that could not be understood.
type watcher struct {
	http.ResponseWriter
	metrics *Metrics
}

// WriteHeader notes the status.
func (w *watcher) WriteHeader(status int) {
	if status == http.StatusBadRequest {
		w.metrics.refuse(refusedGarbled)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the flusher.
func (w *watcher) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush sends what is buffered.
func (w *watcher) Flush() {
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}
