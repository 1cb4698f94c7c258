package bytebudget

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// Meter is the memory that a message takes while it is read. It is safe for concurrent use.
type Meter struct {
	budget *Budget
	mu     sync.Mutex
	taken  int64
}

// NewMeter returns a meter that takes its memory from a budget.
func NewMeter(b *Budget) *Meter { return &Meter{budget: b} }

// take takes n bytes and reports whether that many were left.
func (m *Meter) take(n int64) bool {
	if !m.budget.Take(n) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.taken += n
	return true
}

// Release returns all memory that was taken.
func (m *Meter) Release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Return(m.taken)
	m.taken = 0
}

type meterKey struct{}

// WithMeter returns a context for calls over a Transport that take their memory by the meter. The
// caller releases it, for each message of a stream or at the end.
func WithMeter(ctx context.Context, m *Meter) context.Context {
	return context.WithValue(ctx, meterKey{}, m)
}

// bufferFactor is the memory of a message that is being read as a multiple of the bytes read: the
// buffers of its readers grow by doubling.
const bufferFactor = 2

// Transport is an http.RoundTripper that takes the memory for the bodies of responses from a budget
// while they are read: clients that keep a message in memory until it is complete do not exceed
// it, however many peers send bytes without end. Without a Meter in the context of the call, the
// memory is returned when the body is closed.
type Transport struct {
	Base   http.RoundTripper
	Budget *Budget
	// MaxBytes is the maximum size of a body; zero means no limit beyond the budget.
	MaxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	body := &meteredBody{body: resp.Body, limit: t.MaxBytes}
	if m, ok := r.Context().Value(meterKey{}).(*Meter); ok {
		body.meter = m
	} else {
		body.meter, body.owned = NewMeter(t.Budget), true
	}
	resp.Body = body
	return resp, nil
}

// meteredBody is a body whose bytes are taken from a budget.
type meteredBody struct {
	body  io.ReadCloser
	meter *Meter
	owned bool // the memory is returned when the body is closed
	limit int64
	read  int64
}

// Read implements io.Reader. It returns ErrExhausted or ErrTooLarge instead of data that exceeds
// the budget or the limit.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if n == 0 {
		return 0, err
	}
	b.read += int64(n)
	if b.limit > 0 && b.read > b.limit {
		return 0, errors.Wrapf(ErrTooLarge, "response exceeds %d bytes", b.limit)
	}
	if !b.meter.take(bufferFactor * int64(n)) {
		return 0, ErrExhausted
	}
	return n, err
}

// Close implements io.Closer.
func (b *meteredBody) Close() error {
	if b.owned {
		b.meter.Release()
	}
	return b.body.Close()
}

// CloseIdleConnections closes the idle connections of Base; http.Client calls it.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
