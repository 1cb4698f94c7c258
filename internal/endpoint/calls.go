package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
)

// maxControlBodyBytes is the maximum size of the response to a control call.
const maxControlBodyBytes = 4 << 20

// Load fetches the endpoint's load report.
func (c *Client) Load(ctx context.Context, addr string) (LoadReport, error) {
	var out LoadReport
	err := c.call(ctx, http.MethodGet, addr, PathLoad, nil, &out)
	return out, err
}

// CacheEvents fetches the cache events after the given sequence number.
func (c *Client) CacheEvents(ctx context.Context, addr string, after uint64) (CacheEvents, error) {
	var out CacheEvents
	err := c.call(ctx, http.MethodGet, addr, PathCacheEvents+"?after="+strconv.FormatUint(after, 10), nil, &out)
	return out, err
}

// Leaving fetches the endpoint's drain state.
func (c *Client) Leaving(ctx context.Context, addr string) (LeavingState, error) {
	var out LeavingState
	err := c.call(ctx, http.MethodGet, addr, PathLeaving, nil, &out)
	return out, err
}

// Order sets the desired state of an engine and returns its current state.
func (c *Client) Order(ctx context.Context, addr string, order EngineOrder) (EngineState, error) {
	var out EngineState
	err := c.callOver(ctx, c.orders, http.MethodPost, addr, PathEngineOrder, order, &out)
	return out, err
}

// EngineState fetches the current state of an engine.
func (c *Client) EngineState(ctx context.Context, addr string) (EngineState, error) {
	var out EngineState
	err := c.call(ctx, http.MethodGet, addr, PathEngineOrder, nil, &out)
	return out, err
}

// ExportKV exports the KV cache of an attempt.
func (c *Client) ExportKV(ctx context.Context, addr string, req KVExportRequest) (KVBlob, error) {
	var out KVBlob
	err := c.call(ctx, http.MethodPost, addr, PathKVExport, req, &out)
	return out, err
}

// ImportKV imports a KV cache into an engine.
func (c *Client) ImportKV(ctx context.Context, addr string, blob KVBlob) error {
	return c.call(ctx, http.MethodPost, addr, PathKVImport, blob, nil)
}

func (c *Client) call(ctx context.Context, method, addr, path string, in, out any) error {
	return c.callOver(ctx, c.transport, method, addr, path, in, out)
}

func (c *Client) callOver(ctx context.Context, transport http.RoundTripper, method, addr, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return errors.Wrapf(err, "encode request to %s", path)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err != nil {
		return errors.Wrapf(err, "create request to %s", path)
	}
	req.Header.Set("Content-Type", "application/json")
	metered := bytebudget.Transport{Base: transport, Budget: c.controlMemory, MaxBytes: maxControlBodyBytes}
	resp, err := metered.RoundTrip(req)
	if err != nil {
		return errors.Wrapf(err, "request to %s at %s", path, addr)
	}
	defer closeBody(resp.Body)
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrapf(err, "read response of %s at %s", path, addr)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("%s at %s returned status %d: %.200s", path, addr, resp.StatusCode, raw)
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(raw, out), "decode response of %s at %s", path, addr)
}
