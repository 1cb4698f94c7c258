package endpoint

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestStreamWithoutEnd guards against streams that never end, and take a processor, since an engine
// sends bytes without end that are no event: before one, and after the end-of-stream marker.
func TestStreamWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct {
		events, piece string
		ends          bool // the stream ends with its marker
	}{
		"comments":         {"", ": x\n", false},
		"one line":         {"", "x", false},
		"after the marker": {"data: [DONE]\n\n", ": x\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Content-Type", "text/event-stream")
				_, err := io.WriteString(w, c.events)
				for piece := strings.Repeat(c.piece, 1<<10); err == nil; {
					_, err = io.WriteString(w, piece)
				}
			}))
			t.Cleanup(srv.CloseClientConnections)
			client := NewClient()
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			s, err := client.Chat(ctx, srv.Listener.Addr().String(), Meta{}, &ChatRequest{})
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			var chunk Chunk
			if err := s.Next(&chunk); (err == nil) != c.ends || chunk.Done != c.ends {
				t.Errorf("chunk %+v, error %v", chunk, err)
			}
			if ctx.Err() != nil {
				t.Error("the stream was not cut off")
			}
		})
	}
}
