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

	"github.com/jujubeshed/jujubeshed/internal/httpanswer"
)

// Headers that authenticate calls between nodes.
const (
	headerNonce = "X-Peer-Nonce"
	headerMAC   = "X-Peer-Mac"
)

const (
	nonceBytes = 12
	// MinKeyBytes is the minimum length of a shared key in bytes.
	MinKeyBytes = 16
	// MaxBodyBytes is the maximum length of the body of a call in bytes.
	MaxBodyBytes = 4 << 20
	// maxHeadBytes is the maximum length of the head of a response in bytes.
	maxHeadBytes = 64 << 10
)

// Authentication errors.
var (
	ErrKeyTooShort      = errors.Newf("shared key has fewer than %d bytes", MinKeyBytes)
	ErrUnsignedResponse = errors.New("response is not signed with the shared key")
)

// signer computes the message authentication codes of calls.
type signer struct{ key []byte }

func (s signer) request(path, nonce string, body []byte) string {
	return s.sign([]byte("request\n"), []byte(path), []byte("\n"+nonce+"\n"), body)
}

func (s signer) response(path, nonce string) string {
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

// transport signs requests and rejects responses that aren't signed.
type transport struct {
	signer
	base    http.RoundTripper
	metrics *Metrics
}

var _ http.RoundTripper = (*transport)(nil)

// RoundTrip signs and sends a request, whose body it reads completely first. It
// returns ErrUnsignedResponse if the response has no valid signature.
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
	res, err := httpanswer.Transport{Base: t.base}.RoundTrip(signed)
	if err != nil {
		return nil, err
	}
	if !equal(res.Header.Get(headerMAC), t.response(r.URL.Path, nonce)) {
		_ = res.Body.Close()
		t.metrics.countRefusal(refusedAnswer)
		return nil, errors.Wrapf(ErrUnsignedResponse, "response of %s with status %d", r.URL.Host, res.StatusCode)
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
	_, _ = rand.Read(b) // crypto/rand.Read never returns an error
	return base64.RawStdEncoding.EncodeToString(b)
}

// Authenticate wraps a handler of calls between nodes: it rejects and counts calls
// that aren't signed with the shared key, and signs the responses.
func (s *Service) Authenticate(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := readAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
		if err != nil {
			s.metrics.countRefusal(refusedGarbled)
			http.Error(w, "body can't be read", http.StatusBadRequest)
			return
		}
		nonce := r.Header.Get(headerNonce)
		if !equal(r.Header.Get(headerMAC), s.request(r.URL.Path, nonce, body)) {
			s.metrics.countRefusal(refusedKey)
			http.Error(w, "call is not signed with the shared key", http.StatusUnauthorized)
			return
		}
		s.metrics.ReceivedBytes.Add(float64(len(body)))
		r.Body = io.NopCloser(bytes.NewReader(body))
		w.Header().Set(headerMAC, s.response(r.URL.Path, nonce))
		h.ServeHTTP(&responseRecorder{ResponseWriter: w, metrics: s.metrics}, r)
	})
}

// responseRecorder counts the signed calls that are rejected as malformed.
type responseRecorder struct {
	http.ResponseWriter
	metrics *Metrics
}

// WriteHeader counts a status of 400 and writes the header.
func (w *responseRecorder) WriteHeader(status int) {
	if status == http.StatusBadRequest {
		w.metrics.countRefusal(refusedGarbled)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *responseRecorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush sends buffered data.
func (w *responseRecorder) Flush() {
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}
