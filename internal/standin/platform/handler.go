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
	wire := toAPI(o)
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
	return &api.ObjectList{Objects: listToAPI(list)}, nil
}

// WatchObjects implements api.Handler.
func (h *handler) WatchObjects(ctx context.Context, p api.WatchObjectsParams) (*api.WatchResult, error) {
	r, err := h.store.Watch(ctx, platformapi.Key(p.Prefix), p.After, time.Duration(p.WaitMs)*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return &api.WatchResult{Position: r.Position, Changed: listToAPI(r.Changed), Gap: r.Gap}, nil
}

// ListHosts implements api.Handler.
func (h *handler) ListHosts(context.Context) (*api.HostList, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.callLocked(); err != nil {
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
	if err := h.callLocked(); err != nil {
		return nil, err
	}
	_, known := h.mu.fleet.tokens[req.Token]
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
	if err := h.callLocked(); err != nil {
		return err
	}
	h.mu.fleet.release(h.opts.Now(), ident.Host(p.Host))
	return nil
}

// ListNotices implements api.Handler.
func (h *handler) ListNotices(context.Context) (*api.NoticeList, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.callLocked(); err != nil {
		return nil, err
	}
	out := &api.NoticeList{Notices: []api.Notice{}}
	for _, n := range h.mu.fleet.notices(h.opts.Now()) {
		out.Notices = append(out.Notices, api.Notice{Host: string(n.Host), Incarnation: uint64(n.Incarnation), Deadline: n.Deadline})
	}
	return out, nil
}

// callLocked counts a call to hosts or cloud and refuses it while the platform is down.
func (h *handler) callLocked() error {
	h.mu.calls++
	if h.mu.faults.Store.Down {
		return platformapi.ErrUnavailable
	}
	return nil
}

// answer is the wire form of a platform error.
type answer struct {
	err    error
	status int
	code   api.ErrorCode
}

// answers lists the errors that have an answer; ErrUnknown has none.
var answers = []answer{
	{platformapi.ErrConflict, http.StatusConflict, api.ErrorCodeConflict},
	{platformapi.ErrNotFound, http.StatusNotFound, api.ErrorCodeNotFound},
	{platformapi.ErrTooLarge, http.StatusRequestEntityTooLarge, api.ErrorCodeTooLarge},
	{platformapi.ErrThrottled, http.StatusTooManyRequests, api.ErrorCodeThrottled},
	{platformapi.ErrUnavailable, http.StatusServiceUnavailable, api.ErrorCodeUnavailable},
	{platformapi.ErrRefused, http.StatusConflict, api.ErrorCodeRefused},
	{platformapi.ErrUnknown, statusLost, api.ErrorCodeUnknown},
}

// NewError implements api.Handler.
func (h *handler) NewError(_ context.Context, err error) *api.ErrorStatusCode {
	out := answer{status: http.StatusBadRequest, code: api.ErrorCodeBadRequest}
	for _, a := range answers {
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

// statusLost marks, inside the stand-in, an answer that is not to be sent.
const statusLost = 599

// lostWriter cuts the connection in place of an answer with statusLost.
type lostWriter struct {
	http.ResponseWriter
}

// WriteHeader implements http.ResponseWriter.
func (w lostWriter) WriteHeader(status int) {
	if status == statusLost {
		panic(http.ErrAbortHandler)
	}
	w.ResponseWriter.WriteHeader(status)
}

// cutLost cuts the connection where next's answer is to be lost.
func cutLost(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(lostWriter{w}, r)
	})
}

func toAPI(o platformapi.Object) api.Object {
	if o.Value == nil {
		o.Value = []byte{}
	}
	return api.Object{Key: string(o.Key), Version: uint64(o.Version), Value: o.Value}
}

func listToAPI(list []platformapi.Object) []api.Object {
	out := make([]api.Object, 0, len(list))
	for _, o := range list {
		out = append(out, toAPI(o))
	}
	return out
}
