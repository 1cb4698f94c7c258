// Package bytebudget limits the memory that a process holds for messages of unknown size:
// bodies of requests and responses, and incomplete events.
package bytebudget

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Errors of ReadAll.
var (
	ErrTooLarge  = errors.New("body exceeds its size limit")
	ErrExhausted = errors.New("memory for bodies is exhausted")
)

// firstReadBytes is the memory that a body takes before its size is known to be larger.
const firstReadBytes = 4 << 10

// Budget is an amount of memory that is shared by concurrent messages. It is safe for
// concurrent use.
type Budget struct {
	limited     bool
	free        atomic.Int64
	onExhausted func() // nil for none
}

// New returns a budget of a number of bytes; zero or less means no limit.
func New(bytes int64) *Budget {
	b := &Budget{limited: bytes > 0}
	b.free.Store(bytes)
	return b
}

// OnExhausted sets a function that is called when too little memory is left for a message. It may make
// holders return theirs. It must be set before the budget is used.
func (b *Budget) OnExhausted(f func()) { b.onExhausted = f }

// Take takes n bytes. It returns false, and takes none, if fewer are left.
func (b *Budget) Take(n int64) bool {
	if b.tryTake(n) {
		return true
	}
	if b.onExhausted == nil {
		return false
	}
	b.onExhausted()
	return b.tryTake(n)
}

func (b *Budget) tryTake(n int64) bool {
	if !b.limited {
		return true
	}
	if b.free.Add(-n) < 0 {
		b.free.Add(n)
		return false
	}
	return true
}

// Return returns n bytes that were taken.
func (b *Budget) Return(n int64) {
	if b.limited {
		b.free.Add(n)
	}
}

// ReadAll reads r to its end. It returns the body and the number of bytes taken, which the
// caller has to return; if it fails, nothing remains taken. The error is ErrTooLarge if the
// body exceeds limit bytes, and ErrExhausted if the budget does not suffice. A body of known
// length is read into memory of that size; a negative length means that it is unknown.
func (b *Budget) ReadAll(r io.Reader, length, limit int64) (body []byte, taken int64, err error) {
	if length > limit {
		return nil, 0, ErrTooLarge
	}
	defer func() {
		if err != nil {
			b.Return(taken)
			body, taken = nil, 0
		}
	}()
	size := int64(firstReadBytes)
	if length >= 0 {
		size = min(size, length+1) // one more byte to read the end without growing
	}
	for {
		if !b.Take(size - taken) {
			return body, taken, ErrExhausted
		}
		taken = size
		body = append(make([]byte, 0, size), body...)
		for len(body) < cap(body) {
			n, err := r.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			if errors.Is(err, io.EOF) && int64(len(body)) <= limit {
				return body, taken, nil
			}
			if errors.Is(err, io.EOF) {
				return body, taken, ErrTooLarge
			}
			if err != nil {
				return body, taken, err
			}
		}
		if int64(len(body)) > limit {
			return body, taken, ErrTooLarge
		}
		size = min(2*size, limit+1)
	}
}
