// Package strict rejects HTTP responses that net/http accepts although they are broken.
package strict

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/monsoonlatch/monsoonlatch/pkg/network"
)

// MaxInformational is the maximum number of 1xx responses before the final one.
const MaxInformational = 8

var errInformational = errors.New("too many informational responses")

// Transport is an http.RoundTripper that returns an error for a broken response, or an error from its body if it turns out
// later. A response is broken if it is malformed (see CheckResponse), or has no length and its connection was reset.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport with the settings of base. It is for connections over TCP.
func NewTransport(base *http.Transport) *Transport {
	base = base.Clone()
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, protocol, address string) (net.Conn, error) {
		conn, err := dial(ctx, protocol, address)
		if err != nil {
			return nil, err
		}
		return network.DetectReset(conn), nil
	}
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	informational := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
		// With this hook, net/http does not limit the number of informational responses.
		if informational++; informational > MaxInformational {
			return errInformational
		}
		return CheckNames(http.Header(h))
	}}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that no request uses. http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
