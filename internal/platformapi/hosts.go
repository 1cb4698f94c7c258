package platformapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/ogen-go/ogen/validate"

	api "github.com/jujubeshed/jujubeshed/api/gen/platform"
	"github.com/jujubeshed/jujubeshed/internal/jsonvalue"
)

// readableOnly is the key of a context in whose calls the unreadable entries of a host list are
// left out.
type readableOnly struct{}

// hostListTransport leaves out the unreadable entries of host lists: one odd entry must not hide
// the others.
type hostListTransport struct {
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t hostListTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(req)
	if err != nil || resp.StatusCode != http.StatusOK || req.Context().Value(readableOnly{}) == nil {
		return resp, err
	}
	raw, err := io.ReadAll(resp.Body)
	if err := errors.CombineErrors(err, resp.Body.Close()); err != nil {
		return nil, err
	}
	raw = readableHosts(raw)
	resp.Body, resp.ContentLength = io.NopCloser(bytes.NewReader(raw)), int64(len(raw))
	return resp, nil
}

// readableHosts returns a host list without its unreadable entries, or the list as it is if it
// can't be read at all.
func readableHosts(raw []byte) []byte {
	const entryLevel = 2
	cleared, _ := jsonvalue.ClearNested(raw, entryLevel)
	var list struct {
		Hosts []json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(cleared, &list); err != nil || list.Hosts == nil {
		return raw
	}
	readable := list.Hosts[:0]
	for _, entry := range list.Hosts {
		var h api.Host
		if h.UnmarshalJSON(entry) == nil && h.Validate() == nil {
			readable = append(readable, entry)
		}
	}
	list.Hosts = readable
	out, err := json.Marshal(list)
	if err != nil {
		return raw
	}
	return out
}

// listHosts requests the host list. If it can't be decoded, it requests it again, and from then on
// leaves out the unreadable entries.
func (c *Client) listHosts(ctx context.Context) (*api.HostList, error) {
	if !c.oddHosts.Load() {
		list, err := c.api.ListHosts(ctx)
		if err == nil || !isDecodeError(err) {
			return list, err
		}
		c.oddHosts.Store(true)
		c.reads.Add(1)
	}
	return c.api.ListHosts(context.WithValue(ctx, readableOnly{}, true))
}

// isDecodeError reports whether a response arrived that does not have the form of the API.
func isDecodeError(err error) bool {
	var body *ogenerrors.DecodeBodyError
	var invalid *validate.Error
	return errors.As(err, &body) || errors.As(err, &invalid)
}

// hasOddPort reports whether the port of an address is none that can be connected to.
func hasOddPort(address string) bool {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return false // it names no port
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err != nil || n == 0
}
