package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Tokens generates the response to one prompt and seed. It is a pure function, so
// that every engine can continue a response at any offset and a client can check it.
type Tokens struct {
	base uint64
}

// NewTokens returns the response to a prompt text (endpoint.PromptText) and seed.
func NewTokens(prompt string, seed uint64) Tokens {
	return Tokens{base: xxhash.Sum64String(prompt) ^ (seed+1)*0x9e3779b97f4a7c15}
}

// At returns the token at an offset: three lower-case letters and a space.
func (t Tokens) At(offset int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], t.base)
	binary.LittleEndian.PutUint64(b[8:], uint64(offset))
	h := xxhash.Sum64(b[:])
	return string([]byte{'a' + byte(h%26), 'a' + byte(h/26%26), 'a' + byte(h/676%26), ' '})
}

// Text returns the first n tokens.
func (t Tokens) Text(n int) string {
	b := make([]byte, 0, n*len(t.At(0)))
	for i := range n {
		b = append(b, t.At(i)...)
	}
	return string(b)
}

// Token returns the token at an offset of the response to a prompt and seed.
func Token(prompt string, seed uint64, offset int) string {
	return NewTokens(prompt, seed).At(offset)
}
