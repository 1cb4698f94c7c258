package bytebudget_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
)

func TestReadAll(t *testing.T) {
	failure := errors.New("connection reset")
	for name, c := range map[string]struct {
		r             io.Reader
		length, limit int64
		budget        int64
		want          int
		err           error
	}{
		"empty":               {strings.NewReader(""), 0, 10, 100, 0, nil},
		"known length":        {strings.NewReader("abc"), 3, 10, 100, 3, nil},
		"unknown length":      {iotest.OneByteReader(strings.NewReader(strings.Repeat("a", 9000))), -1, 10000, 20000, 9000, nil},
		"exactly the limit":   {strings.NewReader(strings.Repeat("a", 10)), -1, 10, 10000, 10, nil},
		"longer than limit":   {strings.NewReader(strings.Repeat("a", 11)), -1, 10, 10000, 0, bytebudget.ErrTooLarge},
		"announced too large": {strings.NewReader(""), 11, 10, 10000, 0, bytebudget.ErrTooLarge},
		"without end":         {endless{}, -1, 1 << 20, 8 << 20, 0, bytebudget.ErrTooLarge},
		"budget exhausted":    {endless{}, -1, 1 << 20, 1 << 16, 0, bytebudget.ErrExhausted},
		"no limit":            {strings.NewReader(strings.Repeat("a", 9000)), -1, 10000, 0, 9000, nil},
		"reset":               {io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(failure)), -1, 10, 10000, 0, failure},
	} {
		b := bytebudget.New(c.budget)
		body, taken, err := b.ReadAll(c.r, c.length, c.limit)
		if !errors.Is(err, c.err) || len(body) != c.want {
			t.Errorf("%s: %d bytes, error %v", name, len(body), err)
		}
		if err != nil && taken != 0 || int64(len(body)) > taken {
			t.Errorf("%s: %d bytes taken for a body of %d", name, taken, len(body))
		}
		b.Return(taken)
		if c.budget > 0 && (!b.Take(c.budget) || b.Take(1)) {
			t.Errorf("%s: the budget is not what it was before", name)
		}
	}
}

// TestReadAllKeepsBytes checks that growing the memory keeps the bytes in order.
func TestReadAllKeepsBytes(t *testing.T) {
	want := make([]byte, 100_000)
	for i := range want {
		want[i] = byte(i * 7)
	}
	for _, length := range []int64{-1, int64(len(want))} {
		got, _, err := bytebudget.New(0).ReadAll(iotest.HalfReader(bytes.NewReader(want)), length, 1<<20)
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("length %d: got %d bytes, error %v", length, len(got), err)
		}
	}
}

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}
