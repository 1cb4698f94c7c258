package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxControlBody bounds an answer to a control call, in bytes.
const maxControlBody = 4 << 20

// Load reads the endpoint's load report.
func (c *Client) Load(ctx context.Context, addr string) (LoadReport, error) {
	var out LoadReport
	err := c.call(ctx, http.MethodGet, addr, PathLoad, nil, &out)
	return out, err
}

// CacheEvents reads the cache events after the sequence number.
func (c *Client) CacheEvents(ctx context.Context, addr string, after uint64) (CacheEvents, error) {
	var out CacheEvents
	err := c.call(ctx, http.MethodGet, addr, PathCacheEvents+"?after="+strconv.FormatUint(after, 10), nil, &out)
	return out, err
}

// Leaving reads the endpoint's own word on whether it leaves.
func (c *Client) Leaving(ctx context.Context, addr string) (LeavingState, error) {
	var out LeavingState
	err := c.call(ctx, http.MethodGet, addr, PathLeaving, nil, &out)
	return out, err
}

// Order states the desired end of an engine and returns its state.
func (c *Client) Order(ctx context.Context, addr string, order EngineOrder) (EngineState, error) {
	var out EngineState
	err := c.call(ctx, http.MethodPost, addr, PathEngineOrder, order, &out)
	return out, err
}

// EngineState reads what an engine serves.
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

// ImportKV imports a KV cache.
func (c *Client) ImportKV(ctx context.Context, addr string, blob KVBlob) error {
	return c.call(ctx, http.MethodPost, addr, PathKVImport, blob, nil)
}

func (c *Client) call(ctx context.Context, method, addr, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return errors.Wrapf(err, "encode call of %s", path)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err != nil {
		return errors.Wrapf(err, "call of %s", path)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return errors.Wrapf(err, "call of %s at %s", path, addr)
	}
	defer closeBody(resp.Body)
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBody))
	if err != nil {
		return errors.Wrapf(err, "answer of %s at %s", path, addr)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("%s at %s answered status %d: %.200s", path, addr, resp.StatusCode, raw)
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(raw, out), "answer of %s at %s", path, addr)
}
