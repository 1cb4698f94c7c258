package bytebudget_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
)

// TestTransport guards against responses that are kept in memory beyond the budget or the limit:
// the memory of a body is taken while it is read, and returned by its close or by the meter.
func TestTransport(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 1000))
	}))
	t.Cleanup(srv.Close)
	const budget = 2500
	for name, c := range map[string]struct {
		max   int64
		taken int64 // before the call
		want  error
	}{
		"within the budget": {0, 500, nil},
		"at the limit":      {1000, 0, nil},
		"beyond the limit":  {999, 0, bytebudget.ErrTooLarge},
		"beyond the budget": {0, 501, bytebudget.ErrExhausted},
	} {
		for _, metered := range []bool{false, true} {
			b := bytebudget.New(budget)
			b.Take(c.taken)
			client := &http.Client{Transport: &bytebudget.Transport{Base: http.DefaultTransport, Budget: b, MaxBytes: c.max}}
			ctx, meter := context.Background(), bytebudget.NewMeter(b)
			if metered {
				ctx = bytebudget.WithMeter(ctx, meter)
			}
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, srv.URL, http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := client.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			raw, err := io.ReadAll(resp.Body)
			if !errors.Is(err, c.want) || c.want == nil && len(raw) != 1000 {
				t.Errorf("%s: %d bytes, error %v", name, len(raw), err)
			}
			if c.want == nil && b.Take(budget-c.taken-1999) {
				t.Errorf("%s: the memory of the body was not taken", name)
			}
			_ = resp.Body.Close()
			if metered {
				if c.want == nil && b.Take(budget-c.taken) {
					t.Errorf("%s: the memory was returned before its meter was released", name)
				}
				meter.Release()
			}
			if !b.Take(budget - c.taken) {
				t.Errorf("%s: the memory was not returned", name)
			}
		}
	}
}
