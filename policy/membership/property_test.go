package membership

import (
	"errors"
	"flag"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"zinniafall/policy/model"
)

// A fixed seed makes each run give the same result; the flag -rapid.seed on the
// command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
}

func drawMember(t *rapid.T) Member {
	m := member(1, model.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")))
	m.Version = uint32(rapid.IntRange(1, 3).Draw(t, "version"))
	m.Process = model.ProcessID{byte(rapid.IntRange(0, 1).Draw(t, "process"))}
	m.Status = Status(rapid.IntRange(0, 2).Draw(t, "status"))
	m.Slots = uint16(rapid.IntRange(0, 1).Draw(t, "slots"))
	return m
}

func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, d := drawMember(t), drawMember(t), drawMember(t)
		ab := merge(a, b)
		if ab != merge(b, a) || merge(a, a) != a || merge(ab, d) != merge(a, merge(b, d)) {
			t.Fatalf("merge is not commutative, idempotent and associative")
		}
		if a.Incarnation < b.Incarnation && ab != b {
			t.Fatalf("record of an older incarnation overrode a newer one")
		}
		if a.Incarnation == b.Incarnation && a.Process == b.Process && a.Version < b.Version && ab != b {
			t.Fatalf("older version of a record overrode a newer one")
		}
	})
}

// TestTableProperties applies the same records in opposite orders and expects
// equal digests, counters and ring sizes.
func TestTableProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Member {
			m := drawMember(t)
			m.Node = address(rapid.IntRange(0, 5).Draw(t, "node"))
			return m
		}), 1, 30).Draw(t, "records")
		one, two := newTable(), newTable()
		for i := range records {
			one.apply(time.Time{}, records[i])
			two.apply(time.Time{}, records[len(records)-1-i])
			two.apply(time.Time{}, records[len(records)-1-i])
		}
		if len(one.differing(two.digest())) != 0 || one.gone != two.gone || one.dead != two.dead {
			t.Fatalf("digests or counters depend on the order of the records")
		}
		for i, ring := range one.rings.points {
			if len(ring) != len(one.records)-one.gone || len(ring) != len(two.rings.points[i]) {
				t.Fatalf("ring %d has %d and %d points for %d members", i, len(ring), len(two.rings.points[i]), len(one.records)-one.gone)
			}
		}
	})
}

func TestDuplicateWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s duplicateWindow
		arrived := map[uint64]bool{}
		high := uint64(0)
		for _, sequence := range rapid.SliceOfN(rapid.Uint64Range(1, 200), 1, 100).Draw(t, "sequences") {
			high = max(high, sequence)
			want := !arrived[sequence] && high-sequence < duplicateWindowSize
			if s.accept(1, sequence) != want {
				t.Fatalf("accept(%d) did not return %v", sequence, want)
			}
			arrived[sequence] = true
		}
		if s.accept(0, high+1) || !s.accept(2, 1) {
			t.Fatalf("floods of different incarnations are not distinguished")
		}
	})
}

func TestReceiveRejectsMalformedPackets(t *testing.T) {
	c := qt.New(t)
	long := member(2, 1)
	long.Operators = strings.Repeat("x", maxFieldLength+1)
	cases := []struct {
		name    string
		payload []byte
		want    error
	}{
		{"empty", nil, ErrMalformed},
		{"random", []byte("GET / HTTP/1.1"), ErrMalformed},
		{"oversized", make([]byte, MaxPacket+1), ErrOversized},
		{"trailing", append((&packet{}).encode(), 0), ErrMalformed},
		{"short digest", (&packet{Digest: make([]byte, 8)}).encode(), ErrMalformed},
		{"join with zero parts", (&packet{Join: &joinPart{}}).encode(), ErrMalformed},
		{"long field", (&packet{Updates: []Member{long}}).encode(), ErrMalformed},
		{"no origin", (&packet{Floods: []flood{{}}}).encode(), ErrMalformed},
	}
	v := New(member(1, 1), Options{})
	for _, test := range cases {
		_, err := v.Receive(time.Unix(1000, 0), address(2), test.payload)
		c.Assert(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%s: %v", test.name, err))
	}
	c.Assert(v.table.records, qt.HasLen, 1)
}

func FuzzReceive(f *testing.F) {
	for _, p := range []packet{
		{NeedReply: true, Updates: []Member{member(2, 1)}},
		{Votes: []vote{{Node: address(1), Incarnation: 1}}, NeedReply: true, Digest: make([]byte, digestSize)},
		{Join: &joinPart{Parts: 1}, Floods: []flood{{Origin: address(3), Sequence: 1, Topic: topicSurvey, Payload: make([]byte, surveyQuerySize)}}},
		{CompleteBuckets: []byte{1}, Summaries: []summary{{Key: 1}}, WantedKeys: []uint64{key(address(0))}, Answers: []answer{{Nodes: []uint32{1}}}},
	} {
		f.Add(p.encode())
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		now := time.Unix(1000, 0)
		v := New(member(0, 1), Options{})
		v.table.apply(now, member(1, 1))
		for i := range 3 {
			out, _ := v.Receive(now, address(2+i), payload)
			out = append(out, v.Tick(now.Add(time.Second/2))...)
			for _, o := range out {
				if len(o.Payload) > MaxPacket {
					t.Fatalf("created a packet of %d bytes, above MaxPacket", len(o.Payload))
				}
			}
			now = now.Add(time.Second / 2)
		}
		if v.Self().Incarnation < 1 || len(v.Snapshot().Members) == 0 {
			t.Fatalf("the node's own record is missing or was reset")
		}
	})
}
