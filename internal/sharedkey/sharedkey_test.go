package sharedkey

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

func TestHandlerAcceptsOnlyTheSharedKey(t *testing.T) {
	rejected := 0
	h := Key("right").Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }), func() { rejected++ })
	srv := httptest.NewServer(h)
	defer srv.Close()
	for _, tt := range []struct {
		key  Key
		want int
	}{{"right", http.StatusNoContent}, {"wrong", http.StatusUnauthorized}, {"", http.StatusUnauthorized}} {
		client := &http.Client{Transport: tt.key.Transport(http.DefaultTransport)}
		resp, err := client.Get(srv.URL)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != tt.want {
			t.Errorf("key %q: status %d, want %d", tt.key, resp.StatusCode, tt.want)
		}
	}
	if rejected != 2 {
		t.Errorf("%d calls counted as rejected, want 2", rejected)
	}
}
