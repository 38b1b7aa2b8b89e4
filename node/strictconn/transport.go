package strictconn

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// maxTransportLines bounds the lines of a head that an http.Transport reads: a parsed line
// takes many times the bytes of a short one.
const maxTransportLines = 256

// Transport sends requests by an http.Transport whose connections are Conns. Connections
// with TLS are not checked.
type Transport struct{ base, unchecked *http.Transport }

// NewTransport returns a transport that uses base, which must have DialContext and
// MaxResponseHeaderBytes set. server names the kind of server in metrics.
func NewTransport(base *http.Transport, server string) *Transport {
	dial, limits := base.DialContext, Limits{Bytes: int(base.MaxResponseHeaderBytes), Lines: maxTransportLines}
	unchecked := base.Clone()
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(conn, server, limits), nil
	}
	return &Transport{base, unchecked}
}

// RoundTrip sends a request.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Scheme != "http" {
		return t.unchecked.RoundTrip(r)
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.Expect(r.Method)
		}
	}}
	return t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
	t.unchecked.CloseIdleConnections()
}
