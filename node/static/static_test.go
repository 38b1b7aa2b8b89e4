package static

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// validSettings returns settings without a problem.
func validSettings() map[string]any {
	return map[string]any{
		"node":      map[string]any{"failure_domain": "ne-a", "region": "new-england"},
		"callers":   map[string]any{"listen": "192.0.2.1:80"},
		"peers":     map[string]any{"listen": "192.0.2.1:7400", "known": []any{"192.0.2.2:7400"}},
		"operators": map[string]any{"listen": "192.0.2.1:7401", "tokens": []any{map[string]any{"name": "kim", "token_sha256": strings.Repeat("0", 64)}}},
		"target":    map[string]any{"listen": "127.0.0.1:7402"},
		"store":     map[string]any{"url": "http://192.0.2.9:8500"},
		"fleet":     map[string]any{"secrets": []any{base64.StdEncoding.EncodeToString(make([]byte, 32))}},
	}
}

func marshal(t testing.TB, v any) []byte {
	raw, err := json.Marshal(v)
	qt.Assert(t, err, qt.IsNil)
	return raw
}

func TestDefaults(t *testing.T) {
	s, err := Parse(marshal(t, validSettings()))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(s.Peers.Advertise), qt.Equals, "192.0.2.1:7400")
	qt.Assert(t, s.Limits.Calls, qt.Equals, defaultCalls)
	qt.Assert(t, s.Secrets(), qt.HasLen, 1)
}

func TestProblemsOfInvalidSettings(t *testing.T) {
	cases := []struct {
		name   string
		change func(map[string]any)
		paths  []string
	}{
		{"unknown field", func(m map[string]any) { m["colour"] = "red" }, []string{"/"}},
		{"missing section", func(m map[string]any) { delete(m, "store") }, []string{"/"}},
		{"wrong type", func(m map[string]any) { m["node"] = 7 }, []string{"/node"}},
		{"number out of range", func(m map[string]any) { m["limits"] = map[string]any{"calls": -1} }, []string{"/limits/calls"}},
		{"host name as address", func(m map[string]any) { m["callers"] = map[string]any{"listen": "localhost:80"} }, []string{"/callers/listen"}},
		{"port out of range", func(m map[string]any) { m["callers"] = map[string]any{"listen": "192.0.2.1:99999"} }, []string{"/callers/listen"}},
		{"duplicate address", func(m map[string]any) { m["callers"] = map[string]any{"listen": "192.0.2.1:7401"} }, []string{"/operators/listen"}},
		{"short secret", func(m map[string]any) {
			m["fleet"] = map[string]any{"secrets": []any{base64.StdEncoding.EncodeToString(make([]byte, 31)) + "AAAA"}}
		}, []string{"/fleet/secrets/0"}},
		{"unspecified address without advertise", func(m map[string]any) { m["peers"] = map[string]any{"listen": "0.0.0.0:7400"} }, []string{"/peers/advertise"}},
		{"two problems", func(m map[string]any) {
			m["node"] = map[string]any{"failure_domain": "NE A", "region": "r"}
			m["store"] = map[string]any{"url": "ftp://x"}
		}, []string{"/node/failure_domain", "/store/url"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := validSettings()
			c.change(m)
			_, err := Parse(marshal(t, m))
			var problems *ProblemsError
			qt.Assert(t, errors.As(err, &problems), qt.IsTrue)
			for _, path := range c.paths {
				qt.Assert(t, hasPath(problems, path), qt.IsTrue, qt.Commentf("%v", err))
			}
		})
	}
}

func hasPath(e *ProblemsError, path string) bool {
	for _, p := range e.Problems {
		if p.Path == path && p.Message != "" && p.Remedy != "" {
			return true
		}
	}
	return false
}

func TestInvalidSyntax(t *testing.T) {
	for _, text := range []string{"", "{", string(marshal(t, validSettings())) + "{}", "[]"} {
		_, err := Parse([]byte(text))
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q", text))
	}
}

func FuzzParse(f *testing.F) {
	f.Add(marshal(f, validSettings()))
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Parse(raw)
		if err == nil && s.Peers.Advertise == "" {
			t.Fatal("valid settings without an advertised address")
		}
	})
}
