// Package target carries calls to the target beside the node and asks its
// health and load endpoints. Only the owner uses it, so nobody else opens
// connections to the target.
package target

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// idleTimeout closes connections that no call used.
	idleTimeout = 15 * time.Second
	// maxAnswerHeader bounds the header of an answer, in bytes.
	maxAnswerHeader = 64 << 10
)

// ErrUnframed reports an answer whose end cannot be told from a cut-off.
var ErrUnframed = errors.New("the answer has neither a length nor chunks, so its end can't be verified; make the target send one of them")

// Runner sends requests to one target address.
type Runner struct {
	dialer    *dialer
	transport *http.Transport
	address   string
}

// NewRunner returns a runner for "ip:port" that keeps at most the given number
// of connections.
func NewRunner(address string, connections int) *Runner {
	d := newDialer(address)
	return &Runner{
		dialer:  d,
		address: address,
		transport: &http.Transport{
			DialContext:            d.dial,
			MaxConnsPerHost:        connections - spareConnections,
			MaxIdleConnsPerHost:    connections - spareConnections,
			IdleConnTimeout:        idleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxAnswerHeader,
		},
	}
}

// Close ends the idle connections. Calls in flight keep theirs.
func (r *Runner) Close() {
	r.dialer.close()
	r.transport.CloseIdleConnections()
}

// Result is the end of an attempt to get an answer's header.
type Result struct {
	Response *http.Response
	// Sent is false when no byte of the request can have left.
	Sent bool
	Err  error
}

// Run sends one request, once. The transport's own repetition of requests on
// connections that turn out closed is switched off, since the target may have
// run the first one.
func (r *Runner) Run(ctx context.Context, request *http.Request) Result {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	request.URL.Scheme = "http"
	request.URL.Host = r.address
	forbidRepetition(request)
	response, err := r.transport.RoundTrip(request)
	if err != nil {
		return Result{Sent: sent.Load(), Err: err}
	}
	if request.Method != http.MethodHead && unframed(response) {
		_ = response.Body.Close()
		return Result{Sent: true, Err: ErrUnframed}
	}
	return Result{Response: response, Sent: true}
}

// onceBody hides the kind of a body from the transport, which repeats only
// requests whose body it can get again.
type onceBody struct{ io.Reader }

// Close does nothing: the body belongs to the caller of Run.
func (onceBody) Close() error { return nil }

// forbidRepetition makes the request one that net/http never sends twice.
func forbidRepetition(request *http.Request) {
	request.GetBody = nil
	bodyless := request.Body == nil || request.Body == http.NoBody
	if !bodyless {
		return
	}
	if repeatable(request) {
		request.Body = onceBody{strings.NewReader("")}
		request.ContentLength = 0
	}
}

// repeatable reports whether net/http would send the request twice.
func repeatable(request *http.Request) bool {
	switch request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return request.Header.Get("Idempotency-Key") != "" || request.Header.Get("X-Idempotency-Key") != ""
}

// unframed reports an answer that ends where the connection does.
func unframed(response *http.Response) bool {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return false
	}
	return response.ProtoMajor == 1
}
