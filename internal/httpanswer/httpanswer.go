// Package httpanswer decides what counts as a response in HTTP/1.1. The parsers of net/http accept
// more: a status such as 000, and field names with blanks, which hide fields that frame the body.
package httpanswer

import (
	"bufio"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalid is the error of bytes that are not a response.
var ErrInvalid = errors.New("bytes are not an HTTP response")

// Statuses of responses: three digits, of which the first is 1 to 5 (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an error that wraps ErrInvalid if the head of a response is not valid.
func Check(resp *http.Response) error {
	switch {
	case resp.ProtoMajor < 1 || resp.ProtoMajor > 2:
		return errors.Wrapf(ErrInvalid, "version %q", resp.Proto)
	case resp.StatusCode < minStatus || resp.StatusCode > maxStatus:
		return errors.Wrapf(ErrInvalid, "status %q", resp.Status)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return errors.Wrap(ErrInvalid, "change of the protocol that was not requested")
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrInvalid, "field name %q", name)
		}
	}
	return nil
}

// Read reads a response to a request, whose head must be valid.
func Read(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close() // the connection is not used any more
		return nil, err
	}
	return resp, nil
}

// Transport is an http.RoundTripper that returns valid responses only.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
		return Check(&http.Response{ProtoMajor: 1, StatusCode: status, Header: http.Header(header)})
	}}
	resp, err := t.Base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close() // before its end, which ends the connection
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of Base; http.Client calls it.
func (t Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
