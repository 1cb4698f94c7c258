package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	api "github.com/jujubeshed/jujubeshed/api/gen/platform"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// handler implements the platform's API.
type handler struct {
	*Server
}

var _ api.Handler = (*handler)(nil)

// GetObject implements api.Handler.
func (h *handler) GetObject(ctx context.Context, p api.GetObjectParams) (*api.Object, error) {
	o, err := h.store.Get(ctx, platformapi.Key(p.Key))
	if err != nil {
		return nil, err
	}
	wire := objectToAPI(o)
	return &wire, nil
}

// PutObject implements api.Handler.
func (h *handler) PutObject(ctx context.Context, req *api.Value, p api.PutObjectParams) (*api.Written, error) {
	v, err := h.store.Put(ctx, platformapi.Key(p.Key), req.Value, platformapi.Version(p.Expect))
	if err != nil {
		return nil, err
	}
	return &api.Written{Version: uint64(v)}, nil
}

// DeleteObject implements api.Handler.
func (h *handler) DeleteObject(ctx context.Context, p api.DeleteObjectParams) error {
	return h.store.Delete(ctx, platformapi.Key(p.Key), platformapi.Version(p.Expect))
}

// ListObjects implements api.Handler.
func (h *handler) ListObjects(ctx context.Context, p api.ListObjectsParams) (*api.ObjectList, error) {
	list, err := h.store.List(ctx, platformapi.Key(p.Prefix))
	if err != nil {
		return nil, err
	}
	return &api.ObjectList{Objects: objectsToAPI(list)}, nil
}

// WatchObjects implements api.Handler.
func (h *handler) WatchObjects(ctx context.Context, p api.WatchObjectsParams) (*api.WatchResult, error) {
	r, err := h.store.Watch(ctx, platformapi.Key(p.Prefix), p.After, time.Duration(p.WaitMs)*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return &api.WatchResult{Position: r.Position, Changed: objectsToAPI(r.Changed), Gap: r.Gap}, nil
}

// ListHosts implements api.Handler.
func (h *handler) ListHosts(context.Context) (*api.HostList, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.countCallLocked(); err != nil {
		return nil, err
	}
	out := &api.HostList{Hosts: []api.Host{}}
	for _, info := range h.mu.fleet.list(h.opts.Now(), h.mu.faults.HostLag) {
		out.Hosts = append(out.Hosts, platformapi.HostToAPI(info))
	}
	return out, nil
}

// BuyHost implements api.Handler.
func (h *handler) BuyHost(_ context.Context, req *api.BuyRequest) (*api.BoughtHost, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.countCallLocked(); err != nil {
		return nil, err
	}
	_, known := h.mu.fleet.hostByToken[req.Token]
	f := &h.mu.faults
	if !known && (f.RefuseAll || f.RefuseStarts && req.Reclaimable) {
		h.mu.fleet.counts.Refused++
		return nil, platformapi.ErrRefused
	}
	host := h.mu.fleet.buy(h.opts.Now(), platformapi.BuyRequest{
		Token:       req.Token,
		DataCentre:  ident.DataCentre(req.DataCentre),
		Class:       req.Class,
		Reclaimable: req.Reclaimable,
	})
	if f.LoseBuyAnswers > 0 {
		f.LoseBuyAnswers--
		return nil, platformapi.ErrUnknown
	}
	return &api.BoughtHost{Host: string(host)}, nil
}

// ReleaseHost implements api.Handler.
func (h *handler) ReleaseHost(_ context.Context, p api.ReleaseHostParams) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.countCallLocked(); err != nil {
		return err
	}
	h.mu.fleet.release(h.opts.Now(), ident.Host(p.Host))
	return nil
}

// ListNotices implements api.Handler.
func (h *handler) ListNotices(context.Context) (*api.NoticeList, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.countCallLocked(); err != nil {
		return nil, err
	}
	out := &api.NoticeList{Notices: []api.Notice{}}
	for _, n := range h.mu.fleet.notices(h.opts.Now()) {
		out.Notices = append(out.Notices, api.Notice{Host: string(n.Host), Incarnation: uint64(n.Incarnation), Deadline: n.Deadline})
	}
	return out, nil
}

// countCallLocked counts a host or cloud call. It returns ErrUnavailable while the platform is down.
func (h *handler) countCallLocked() error {
	h.mu.calls++
	if h.mu.faults.Store.Down {
		return platformapi.ErrUnavailable
	}
	return nil
}

// errorResponse maps a platform error to its HTTP status and error code.
type errorResponse struct {
	err    error
	status int
	code   api.ErrorCode
}

// errorResponses lists the platform errors. ErrUnknown has no response: its connection is closed.
var errorResponses = []errorResponse{
	{platformapi.ErrConflict, http.StatusConflict, api.ErrorCodeConflict},
	{platformapi.ErrNotFound, http.StatusNotFound, api.ErrorCodeNotFound},
	{platformapi.ErrTooLarge, http.StatusRequestEntityTooLarge, api.ErrorCodeTooLarge},
	{platformapi.ErrThrottled, http.StatusTooManyRequests, api.ErrorCodeThrottled},
	{platformapi.ErrUnavailable, http.StatusServiceUnavailable, api.ErrorCodeUnavailable},
	{platformapi.ErrRefused, http.StatusConflict, api.ErrorCodeRefused},
	{platformapi.ErrUnknown, statusDropped, api.ErrorCodeUnknown},
}

// NewError implements api.Handler.
func (h *handler) NewError(_ context.Context, err error) *api.ErrorStatusCode {
	out := errorResponse{status: http.StatusBadRequest, code: api.ErrorCodeBadRequest}
	for _, a := range errorResponses {
		if errors.Is(err, a.err) {
			out = a
			break
		}
	}
	return &api.ErrorStatusCode{
		StatusCode: out.status,
		Response:   api.Error{Code: out.code, Message: err.Error()},
	}
}

// statusDropped is the status, internal to the stand-in, of a response that is not sent.
const statusDropped = 599

// droppingWriter aborts the connection instead of sending a response with statusDropped.
type droppingWriter struct {
	http.ResponseWriter
}

// WriteHeader implements http.ResponseWriter.
func (w droppingWriter) WriteHeader(status int) {
	if status == statusDropped {
		panic(http.ErrAbortHandler)
	}
	w.ResponseWriter.WriteHeader(status)
}

// dropResponses wraps next and aborts the connection of responses with statusDropped.
func dropResponses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(droppingWriter{w}, r)
	})
}

func objectToAPI(o platformapi.Object) api.Object {
	if o.Value == nil {
		o.Value = []byte{}
	}
	return api.Object{Key: string(o.Key), Version: uint64(o.Version), Value: o.Value}
}

func objectsToAPI(list []platformapi.Object) []api.Object {
	out := make([]api.Object, 0, len(list))
	for _, o := range list {
		out = append(out, objectToAPI(o))
	}
	return out
}
