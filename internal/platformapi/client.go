package platformapi

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	api "github.com/jujubeshed/jujubeshed/api/gen/platform"
	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
	"github.com/jujubeshed/jujubeshed/internal/httpanswer"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/keepalive"
)

const (
	// maxResponseBytes and maxHeadBytes limit the body and the head of a response.
	maxResponseBytes = 64 << 20
	maxHeadBytes     = 64 << 10
	// responseMemoryBytes is the memory for all responses that are being read.
	responseMemoryBytes = 128 << 20
)

// ClientOptions are the settings of a Client.
type ClientOptions struct {
	// Address of the platform: "ip:port" or a URL.
	Address string
	// CallTimeout limits each call; Watch adds its wait time. Default: 2s.
	CallTimeout time.Duration
	// DialTimeout limits each attempt to connect. Default: 500ms.
	DialTimeout time.Duration
	// MaxConns limits the connections to the platform. Default: 32.
	MaxConns int
}

func (o ClientOptions) withDefaults() ClientOptions {
	if o.CallTimeout == 0 {
		o.CallTimeout = 2 * time.Second
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = 500 * time.Millisecond
	}
	if o.MaxConns == 0 {
		o.MaxConns = 32
	}
	if !strings.Contains(o.Address, "://") {
		o.Address = "http://" + o.Address
	}
	return o
}

// ClientCounts contains the number of calls that a Client has sent, including failed ones.
type ClientCounts struct {
	Reads   uint64 // Get, List, ListHosts, Notices
	Writes  uint64 // Put, Delete, Buy, Release
	Watches uint64
	Failed  uint64 // every error except ErrConflict, ErrNotFound and ErrRefused
}

// Client calls the platform over HTTP. It never retries: the caller decides whether
// a write may be repeated.
type Client struct {
	opts      ClientOptions
	api       *api.Client
	transport *http.Transport

	reads, writes, watches, failed atomic.Uint64
	oddHosts                       atomic.Bool // a host list with unreadable entries was received
}

var (
	_ Store = (*Client)(nil)
	_ Hosts = (*Client)(nil)
	_ Cloud = (*Client)(nil)
)

// NewClient returns a client. Connections are opened on the first call. It returns an
// error if the address is invalid.
func NewClient(opts ClientOptions) (*Client, error) {
	opts = opts.withDefaults()
	transport := &http.Transport{
		// A release or a purchase that was given up must not reach the cloud later, when the
		// plan may have changed.
		DialContext:         keepalive.DialFunc(keepalive.DiscardingDialer(opts.DialTimeout, opts.CallTimeout)),
		MaxConnsPerHost:     opts.MaxConns,
		MaxIdleConnsPerHost: opts.MaxConns,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	// The generated client reads each response completely, without a limit of its own.
	metered := &bytebudget.Transport{Base: httpanswer.Transport{Base: transport}, Budget: bytebudget.New(responseMemoryBytes), MaxBytes: maxResponseBytes}
	c, err := api.NewClient(opts.Address, api.WithClient(&http.Client{Transport: hostListTransport{refusalTransport{metered}}}))
	if err != nil {
		return nil, errors.Wrapf(err, "platform address %q", opts.Address)
	}
	return &Client{opts: opts, api: c, transport: transport}, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Counts returns the number of calls sent so far.
func (c *Client) Counts() ClientCounts {
	return ClientCounts{
		Reads:   c.reads.Load(),
		Writes:  c.writes.Load(),
		Watches: c.watches.Load(),
		Failed:  c.failed.Load(),
	}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key Key) (Object, error) {
	ctx, cancel := c.startCall(ctx, &c.reads, 0)
	defer cancel()
	o, err := c.api.GetObject(ctx, api.GetObjectParams{Key: string(key)})
	if err != nil {
		return Object{}, c.readError(err, "get object %q", key)
	}
	return objectFromAPI(*o), nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key Key, value []byte, expect Version) (Version, error) {
	if len(value) > MaxObjectBytes {
		return 0, errors.Wrapf(ErrTooLarge, "put object %q of %d bytes", key, len(value))
	}
	ctx, cancel := c.startCall(ctx, &c.writes, 0)
	defer cancel()
	if value == nil {
		value = []byte{}
	}
	w, err := c.api.PutObject(ctx, &api.Value{Value: value}, api.PutObjectParams{Key: string(key), Expect: uint64(expect)})
	if err != nil {
		return 0, c.writeError(err, "put object %q", key)
	}
	return Version(w.Version), nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key Key, expect Version) error {
	ctx, cancel := c.startCall(ctx, &c.writes, 0)
	defer cancel()
	err := c.api.DeleteObject(ctx, api.DeleteObjectParams{Key: string(key), Expect: uint64(expect)})
	if err != nil {
		return c.writeError(err, "delete object %q", key)
	}
	return nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix Key) ([]Object, error) {
	ctx, cancel := c.startCall(ctx, &c.reads, 0)
	defer cancel()
	list, err := c.api.ListObjects(ctx, api.ListObjectsParams{Prefix: string(prefix)})
	if err != nil {
		return nil, c.readError(err, "list objects under %q", prefix)
	}
	return objectsFromAPI(list.Objects), nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix Key, after uint64, wait time.Duration) (WatchResult, error) {
	ctx, cancel := c.startCall(ctx, &c.watches, wait)
	defer cancel()
	r, err := c.api.WatchObjects(ctx, api.WatchObjectsParams{Prefix: string(prefix), After: after, WaitMs: wait.Milliseconds()})
	if err != nil {
		return WatchResult{}, c.readError(err, "watch objects under %q", prefix)
	}
	return WatchResult{Position: r.Position, Changed: objectsFromAPI(r.Changed), Gap: r.Gap}, nil
}

// ListHosts implements Hosts.
func (c *Client) ListHosts(ctx context.Context) ([]HostInfo, error) {
	ctx, cancel := c.startCall(ctx, &c.reads, 0)
	defer cancel()
	list, err := c.listHosts(ctx)
	if err != nil {
		return nil, c.readError(err, "list hosts")
	}
	out := make([]HostInfo, 0, len(list.Hosts))
	for _, h := range list.Hosts {
		out = append(out, HostFromAPI(h))
	}
	return out, nil
}

// Buy implements Cloud.
func (c *Client) Buy(ctx context.Context, req BuyRequest) (ident.Host, error) {
	ctx, cancel := c.startCall(ctx, &c.writes, 0)
	defer cancel()
	h, err := c.api.BuyHost(ctx, &api.BuyRequest{
		Token:       req.Token,
		DataCentre:  string(req.DataCentre),
		Class:       req.Class,
		Reclaimable: req.Reclaimable,
		Service:     api.NewOptString(string(req.Service)),
		Version:     api.NewOptString(string(req.Version)),
	})
	if err != nil {
		return "", c.writeError(err, "buy host with token %q", req.Token)
	}
	return ident.Host(h.Host), nil
}

// Release implements Cloud.
func (c *Client) Release(ctx context.Context, host ident.Host) error {
	ctx, cancel := c.startCall(ctx, &c.writes, 0)
	defer cancel()
	if err := c.api.ReleaseHost(ctx, api.ReleaseHostParams{Host: string(host)}); err != nil {
		return c.writeError(err, "release host %q", host)
	}
	return nil
}

// Notices implements Cloud.
func (c *Client) Notices(ctx context.Context) ([]Notice, error) {
	ctx, cancel := c.startCall(ctx, &c.reads, 0)
	defer cancel()
	list, err := c.api.ListNotices(ctx)
	if err != nil {
		return nil, c.readError(err, "list reclaim notices")
	}
	out := make([]Notice, 0, len(list.Notices))
	for _, n := range list.Notices {
		out = append(out, Notice{Host: ident.Host(n.Host), Incarnation: ident.Incarnation(n.Incarnation), Deadline: n.Deadline})
	}
	return out, nil
}

// startCall increments counter and returns a context with the deadline of the call:
// CallTimeout plus wait from now.
func (c *Client) startCall(ctx context.Context, counter *atomic.Uint64, wait time.Duration) (context.Context, context.CancelFunc) {
	counter.Add(1)
	return context.WithTimeout(ctx, c.opts.CallTimeout+wait)
}

// readError returns the error for a failed read. Reads have no side effects, so a
// missing response is reported as ErrUnavailable.
func (c *Client) readError(err error, format string, args ...any) error {
	return c.callError(err, ErrUnavailable, format, args...)
}

// writeError returns the error for a failed write. Without a response the write may
// have taken effect, which is reported as ErrUnknown.
func (c *Client) writeError(err error, format string, args ...any) error {
	return c.callError(err, ErrUnknown, format, args...)
}

func (c *Client) callError(err, noResponse error, format string, args ...any) error {
	kind := classify(err, noResponse)
	if !errors.IsAny(kind, ErrConflict, ErrNotFound, ErrRefused) {
		c.failed.Add(1)
	}
	return fmt.Errorf("%s: %w: %w", fmt.Sprintf(format, args...), kind, err)
}

// errorsByCode maps the platform's error codes to the errors of this package.
var errorsByCode = map[api.ErrorCode]error{
	api.ErrorCodeConflict:    ErrConflict,
	api.ErrorCodeNotFound:    ErrNotFound,
	api.ErrorCodeTooLarge:    ErrTooLarge,
	api.ErrorCodeThrottled:   ErrThrottled,
	api.ErrorCodeUnavailable: ErrUnavailable,
	api.ErrorCodeUnknown:     ErrUnknown,
	api.ErrorCodeRefused:     ErrRefused,
	api.ErrorCodeBadRequest:  ErrBadRequest,
}

// classify returns the error of this package that corresponds to err. It returns
// noResponse if no response with a known error code was received.
func classify(err, noResponse error) error {
	var status *api.ErrorStatusCode
	if errors.As(err, &status) {
		if kind, ok := errorsByCode[status.Response.Code]; ok {
			return kind
		}
		return noResponse
	}
	return NoResponseError(err, noResponse)
}

// Refusal returns the error for an HTTP status with which the store, or a load balancer
// in front of it, rejects a call without executing it: ErrUnavailable for 503 and
// ErrThrottled for 429. It returns nil for any other status.
func Refusal(status int) error {
	switch status {
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	case http.StatusTooManyRequests:
		return ErrThrottled
	default:
		return nil
	}
}

// NoResponseError returns the error of this package for a call that failed with err and
// received no response. It returns noResponse if the platform may have received the call.
func NoResponseError(err, noResponse error) error {
	if errors.Is(err, ErrThrottled) {
		return ErrThrottled
	}
	if errors.Is(err, ErrUnavailable) || isDialError(err) {
		return ErrUnavailable
	}
	return noResponse
}

// isDialError reports whether the connection could not be established, so that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// refusalTransport replaces a response by its Refusal error, if it has one. It ignores the
// body, which need not be an error document if the response comes from a load balancer.
type refusalTransport struct {
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t refusalTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err = Refusal(resp.StatusCode); err == nil {
		return resp, nil
	}
	return nil, errors.CombineErrors(err, resp.Body.Close())
}
