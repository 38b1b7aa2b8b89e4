package server

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"zinniafall/node/entry"
)

// TestNodeThatLacksNewerConfigurationGivesNoFinalRefusal requires that a node that knows of a
// newer configuration, which it cannot get, refuses neither an account nor a service that is
// unknown to it for good: the newer configuration may have them.
func TestNodeThatLacksNewerConfigurationGivesNoFinalRefusal(t *testing.T) {
	f := newTestFleet(t)
	n := f.add("a", func(http.ResponseWriter, *http.Request) {})
	f.ready()
	f.store.SetDown(true)
	n.configuration.recordRevision(n.Revision()+1, "127.0.0.1:1")
	f.eventually(n.configuration.applier.Behind)

	for name, set := range map[string]func(http.Header){
		"service": func(h http.Header) { h.Set(entry.HeaderService, "ferry") },
		"account": func(h http.Header) { h.Set(entry.HeaderAccountKey, "the key of ware") },
	} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, n.url+"/x", nil)
		qt.Assert(t, err, qt.IsNil)
		request.Header.Set(entry.HeaderService, testService)
		request.Header.Set(entry.HeaderAccountKey, testKey)
		qt.Check(t, readResult(http.DefaultClient.Do(request)).status, qt.Equals, http.StatusOK)
		set(request.Header)
		result := readResult(http.DefaultClient.Do(request))
		qt.Check(t, result.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s: %s", name, result.kind))
		qt.Check(t, result.run, qt.Equals, "no")
	}
}
