package contacts

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
)

func allAlive(model.NodeAddr) bool { return true }

func testList(n int) List {
	var l List
	for i := range n {
		l.Nodes = append(l.Nodes, model.NodeAddr(fmt.Sprintf("10.0.0.%02d:1", i)))
	}
	return l
}

func TestUpdate(t *testing.T) {
	firstGone := func(node model.NodeAddr) bool { return node != "10.0.0.00:1" }
	cases := []struct {
		name    string
		before  List
		self    model.NodeAddr
		alive   func(model.NodeAddr) bool
		length  int
		changed bool
	}{
		{"empty list", List{}, "10.0.0.50:1", allAlive, 1, true},
		{"already on the list", testList(3), "10.0.0.01:1", allAlive, 3, false},
		{"gone node is removed", testList(3), "10.0.0.01:1", firstGone, 2, true},
		{"full list is unchanged", testList(Max), "10.0.0.50:1", allAlive, Max, false},
		{"full list, gone node is replaced", testList(Max), "10.0.0.50:1", firstGone, Max, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next, changed := c.before.Update(c.self, c.alive)
			qt.Assert(t, next.Nodes, qt.HasLen, c.length)
			qt.Assert(t, changed, qt.Equals, c.changed)
			decoded, err := Decode(next.Encode())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, decoded, qt.DeepEquals, next)
		})
	}
}

// TestOddEntriesAreLeftOut guards against one entry of another writer that keeps nodes from
// joining through all others.
func TestOddEntriesAreLeftOut(t *testing.T) {
	want := testList(2)
	for name, odd := range map[string]string{
		"port out of range": `"10.0.0.9:99999"`, "no port": `"10.0.0.9"`, "empty": `""`, "too long": `"` + strings.Repeat("a", maxAddress) + `:1"`,
		"number too large": `1e999`, "another type": `{"node":["10.0.0.9:1"]}`, "nested": strings.Repeat("[", 5000) + strings.Repeat("]", 5000),
	} {
		l, err := Decode(fmt.Appendf(nil, `{"nodes":["%s",%s,"%s"]}`, want.Nodes[0], odd, want.Nodes[1]))
		qt.Assert(t, err, qt.IsNil, qt.Commentf(name))
		qt.Assert(t, l, qt.DeepEquals, want, qt.Commentf(name))
	}
	_, err := Decode([]byte(`{"nodes":` + strings.Repeat("[", 1<<20)))
	qt.Assert(t, err, qt.Equals, ErrMalformed)
}

func FuzzDecode(f *testing.F) {
	f.Add(testList(2).Encode())
	f.Add([]byte(`{"nodes":[""]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		l, err := Decode(raw)
		if err == nil && len(l.Nodes) > Max {
			t.Fatal("too many nodes")
		}
	})
}
