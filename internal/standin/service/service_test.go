package service

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/standin/control"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

func TestEffectsUnderFaults(t *testing.T) {
	s := New(Options{ID: "desk", Seed: 1})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	tests := []struct {
		name    string
		faults  Faults
		status  int // zero: no response
		verdict verdict.Verdict
		effects int
	}{
		{"plain", Faults{}, http.StatusCreated, verdict.MayHaveRun, 1},
		{"refused", Faults{RefuseRate: 1}, http.StatusServiceUnavailable, verdict.NotRun, 0},
		{"failed", Faults{FailRate: 1}, http.StatusInternalServerError, verdict.MayHaveRun, 0},
		{"cut", Faults{CutRate: 1}, 0, verdict.MayHaveRun, 1},
		{"other path", Faults{CutRate: 1, Path: "/catalogue"}, http.StatusCreated, verdict.MayHaveRun, 1},
		{"other workspace", Faults{RefuseRate: 1, Workspace: "w"}, http.StatusCreated, verdict.MayHaveRun, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := control.Post(context.Background(), srv.URL, control.Path, tt.faults); err != nil {
				t.Fatal(err)
			}
			req, _ := http.NewRequest(http.MethodPost, srv.URL+"/orders", strings.NewReader("two plaques"))
			req.GetBody = nil // otherwise net/http resends a request with an Idempotency-Key after a connection error
			req.Header.Set(endpoint.HeaderIdemKey, tt.name)
			req.Header.Set(endpoint.HeaderAttemptID, "attempt "+tt.name)
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				defer func() { _ = resp.Body.Close() }()
				if v := verdict.Parse(resp.Header.Get(verdict.Header)); resp.StatusCode != tt.status || v != tt.verdict {
					t.Errorf("status %d, verdict %v", resp.StatusCode, v)
				}
			} else if tt.status != 0 {
				t.Errorf("error %v, want status %d", err, tt.status)
			}
			e := s.Effects()
			if e.ByKey[tt.name] != tt.effects || e.ByAttempt[ident.AttemptID("attempt "+tt.name)] != tt.effects {
				t.Errorf("effects = %+v, want %d", e, tt.effects)
			}
		})
	}
}

func TestRepeatsAndCatalogue(t *testing.T) {
	for _, drop := range []bool{false, true} {
		s := New(Options{DropDuplicates: drop})
		for range 2 {
			req := httptest.NewRequest(http.MethodPost, "/orders/plaques", strings.NewReader("x"))
			req.Header.Set(endpoint.HeaderIdemKey, "k")
			s.Handler().ServeHTTP(httptest.NewRecorder(), req)
		}
		if st := s.Status(); (st.Doubled == 0) != drop || (st.Orders == 1) != drop {
			t.Errorf("drop duplicates %v: status = %+v", drop, st)
		}
	}
	rec := httptest.NewRecorder()
	New(Options{}).Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/catalogue/boot-7", nil))
	var item Item
	if err := json.NewDecoder(rec.Body).Decode(&item); err != nil || item != CatalogueItem("boot-7") {
		t.Errorf("item = %+v, %v", item, err)
	}
}
