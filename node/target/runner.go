// Package target sends calls, health checks and load queries to the target on the
// node's VM. Only the target's owner uses it, so no other component opens
// connections to the target.
package target

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"zinniafall/node/strictconn"
)

const (
	// idleTimeout is the idle time after which a connection is closed.
	idleTimeout = 15 * time.Second
	// maxResponseHeader bounds the response header in bytes.
	maxResponseHeader = 64 << 10
)

// ErrUnframed reports a response that ends when its connection closes, so that a
// complete body cannot be distinguished from a truncated one.
var ErrUnframed = errors.New("the answer has neither a length nor chunks, so its end can't be verified; make the target send one of them")

// ErrStray reports a response that names another exchange, or one on a kept connection that
// names none although the target has named exchanges before.
var ErrStray = errors.New("the answer belongs to another request; the target sent one twice")

// ExchangeHeader names the exchange in a request, and a target may repeat it in its response.
// A connection that is kept does not show by itself to which request a response belongs.
const ExchangeHeader = "Zinniafall-Exchange"

// Runner sends requests to one target address.
type Runner struct {
	dialer    *dialer
	transport *strictconn.Transport
	address   string
	exchanges atomic.Uint64
	// names is set once the target has named an exchange in a response.
	names atomic.Bool
}

// NewRunner returns a runner for the address "ip:port" that opens at most the
// given number of connections, spare ones included.
func NewRunner(address string, connections int) *Runner {
	d := newDialer(address)
	return &Runner{
		dialer:  d,
		address: address,
		transport: strictconn.NewTransport(&http.Transport{
			DialContext:            d.dial,
			MaxConnsPerHost:        connections - maxSpares,
			MaxIdleConnsPerHost:    connections - maxSpares,
			IdleConnTimeout:        idleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxResponseHeader,
		}, "target"),
	}
}

// Close closes the idle connections. Calls in flight keep theirs.
func (r *Runner) Close() {
	r.dialer.close()
	r.transport.CloseIdleConnections()
}

// Result is the response to a request, or the reason why there is none.
type Result struct {
	Response *http.Response
	// Sent is false when no byte of the request can have been sent.
	Sent bool
	Err  error
}

// Run sends the request at most once and waits for the response header. It
// disables the transport's retries on connections that turn out to be closed,
// since the target may have executed the first request.
func (r *Runner) Run(ctx context.Context, request *http.Request) Result {
	var sent atomic.Bool
	var used atomic.Pointer[httptrace.GotConnInfo]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used.Store(&info)
		sent.Store(true)
	}}
	exchange := strconv.FormatUint(r.exchanges.Add(1), 36)
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	request.URL.Scheme = "http"
	request.URL.Host = r.address
	request.Header.Set(ExchangeHeader, exchange)
	disableRetries(request)
	response, err := r.transport.RoundTrip(request)
	if err != nil {
		return Result{Sent: sent.Load(), Err: err}
	}
	if info := used.Load(); !r.belongs(response, exchange, info.Reused) {
		_ = info.Conn.Close() // the transport may keep it: the response may be complete
		_ = response.Body.Close()
		return Result{Sent: true, Err: ErrStray}
	}
	if request.Method != http.MethodHead && unframed(response) {
		_ = response.Body.Close()
		return Result{Sent: true, Err: ErrUnframed}
	}
	return Result{Response: response, Sent: true}
}

// belongs reports whether a response is the one of an exchange. It removes the field that says
// so. reused reports whether its connection has had another request.
func (r *Runner) belongs(response *http.Response, exchange string, reused bool) bool {
	named := response.Header.Get(ExchangeHeader)
	response.Header.Del(ExchangeHeader)
	if named == "" {
		return !reused || !r.names.Load()
	}
	r.names.Store(true)
	return named == exchange
}

// unreplayableBody hides the type of a body from the transport, which retries only
// requests whose body it can replay.
type unreplayableBody struct{ io.Reader }

// Close does nothing: the caller of Run owns the body.
func (unreplayableBody) Close() error { return nil }

// disableRetries changes the request so that net/http never sends it twice.
func disableRetries(request *http.Request) {
	request.GetBody = nil
	bodyless := request.Body == nil || request.Body == http.NoBody
	if !bodyless {
		return
	}
	if retryable(request) {
		request.Body = unreplayableBody{strings.NewReader("")}
		request.ContentLength = 0
	}
}

// retryable reports whether net/http may retry the request if it has no body.
func retryable(request *http.Request) bool {
	switch request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return request.Header.Get("Idempotency-Key") != "" || request.Header.Get("X-Idempotency-Key") != ""
}

// unframed reports whether the response ends only when its connection closes.
func unframed(response *http.Response) bool {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return false
	}
	return response.ProtoMajor == 1
}
