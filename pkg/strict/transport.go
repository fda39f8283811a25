// Package strict rejects HTTP responses that net/http accepts although they are broken.
package strict

import (
	"context"
	"net"
	"net/http"

	"github.com/monsoonlatch/monsoonlatch/pkg/network"
)

// Transport is an http.RoundTripper that returns an error for a broken response, or an error from its body if it turns out
// later. A response without a length is broken if its connection was reset.
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
	return t.base.RoundTrip(req)
}

// CloseIdleConnections closes the connections that no request uses. http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
