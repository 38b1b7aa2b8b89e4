package operatorapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
)

// Every request without an operator's token must be refused before it reaches a
// handler. Handlers would panic here, because the server has no node.
func TestEveryRequestNeedsAToken(t *testing.T) {
	token, hash := NewToken()
	s := New(Options{Operators: []Operator{{Name: "ana", Token: hash}}})
	empty := New(Options{})
	for _, call := range []string{
		"GET /v1/config", "GET /v1/config/domain", "GET /v1/config/domain/ne-a", "POST /v1/plan", "POST /v1/apply",
		"GET /v1/history", "GET /v1/domains", "GET /v1/status", "GET /v1/quarantine", "DELETE /v1/quarantine/x", "GET /other",
	} {
		method, path, _ := strings.Cut(call, " ")
		for _, header := range []string{"", "Bearer ", "Bearer wrong", "bearer " + token, "Basic " + token, token, "Bearer " + token + "x", "Bearer " + strings.Repeat("x", 1<<16)} {
			for _, server := range []*Server{s, empty} {
				r := httptest.NewRequest(method, path, nil)
				r.Header.Set("Authorization", header)
				w := httptest.NewRecorder()
				server.ServeHTTP(w, r)
				qt.Assert(t, w.Code, qt.Equals, http.StatusUnauthorized, qt.Commentf("%s with %.40q", call, header))
			}
		}
	}
	r := httptest.NewRequest(http.MethodGet, "/other", nil)
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	qt.Assert(t, w.Code, qt.Equals, http.StatusNotFound)
	qt.Assert(t, s.refused.Get(), qt.Equals, uint64(88))
}

func FuzzChange(f *testing.F) {
	token, hash := NewToken()
	s := New(Options{Operators: []Operator{{Name: "ana", Token: hash}}, Node: cutOff{}})
	f.Add(`{"change_id":"x","set":{}}`)
	f.Fuzz(func(t *testing.T, body string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/apply", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		if w.Code != http.StatusBadRequest && w.Code != http.StatusServiceUnavailable {
			t.Fatalf("status %d", w.Code)
		}
	})
}

// slowToApply is a node whose other member has a revision in force after a number
// of checks.
type slowToApply struct {
	Node
	checks int
}

func (n *slowToApply) InForce(model.Revision) (in, missing []model.NodeAddr) {
	n.checks--
	if n.checks > 0 {
		return []model.NodeAddr{"a"}, []model.NodeAddr{"b"}
	}
	return []model.NodeAddr{"a", "b"}, nil
}

func TestAwaitInForce(t *testing.T) {
	for _, test := range []struct {
		name   string
		checks int
		want   *InForce
	}{
		{"at once", 1, &InForce{Nodes: 2}},
		{"after 1 s", 51, &InForce{Nodes: 2, WaitedMS: 1000}},
		{"not before the timeout", 1000, &InForce{Nodes: 1, Missing: []model.NodeAddr{"b"}, WaitedMS: 7000}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Options{Node: &slowToApply{checks: test.checks}})
				qt.Assert(t, s.awaitInForce(t.Context(), 2), qt.DeepEquals, test.want)
			})
		})
	}
}

// cutOff is a node that may not commit changes.
type cutOff struct{ Node }

func (cutOff) MayCommit() bool { return false }
