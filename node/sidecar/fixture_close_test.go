package sidecar

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Closing a target must not wait for a handler that never returns: a run of all tests
// beside load once hung there and reported no failure.
func TestTargetWithAHeldHandlerCloses(t *testing.T) {
	running, held := make(chan struct{}), make(chan struct{})
	defer close(held)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(running)
		<-held
	}))
	caller := make(chan error, 1)
	go func() {
		response, err := http.Get(server.URL)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		caller <- err
	}()
	<-running
	closeTarget(server)
	qt.Assert(t, <-caller, qt.IsNotNil)
}
