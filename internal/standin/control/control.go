// Package control contains the shared server and client code of the stand-ins' control pages.
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// Path is the path of every stand-in's control page: GET returns its state, POST sets its faults.
const Path = "/control"

// maxBody is the maximum size of a control request's body, in bytes.
const maxBody = 1 << 20

// WriteJSON writes v as a JSON response.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON decodes the request body into v. If decoding fails, it responds with 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Post sends body as JSON to the control page at address ("ip:port" or a URL).
func Post(ctx context.Context, address, path string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "encode %T", body)
	}
	return call(ctx, http.MethodPost, address, path, b, nil)
}

// Get decodes the response of the control page at address into out.
func Get(ctx context.Context, address, path string, out any) error {
	return call(ctx, http.MethodGet, address, path, nil, out)
}

func call(ctx context.Context, method, address, path string, body []byte, out any) error {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	req, err := http.NewRequestWithContext(ctx, method, address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "control page %s%s", address, path)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "control page %s%s", address, path)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return errors.Newf("control page %s%s responded with %s", address, path, resp.Status)
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.NewDecoder(resp.Body).Decode(out), "control page %s%s", address, path)
}
