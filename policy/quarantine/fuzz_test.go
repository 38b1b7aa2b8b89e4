package quarantine

import (
	"bytes"
	"testing"
)

// FuzzDecodeNotice feeds bytes of a peer: what is accepted is within bounds
// and encodes back to a notice that means the same.
func FuzzDecodeNotice(f *testing.F) {
	for _, n := range []Notice{{}, struck(crashA, poison, innocent), cleared(poison, crashA, crashB)} {
		raw, err := n.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add(bytes.Repeat([]byte{0x9f}, 64))
	f.Fuzz(func(t *testing.T, raw []byte) {
		n, err := DecodeNotice(raw)
		if err != nil {
			return
		}
		l := New(Options{MaxSuspects: 4, MaxQuarantined: 4})
		l.Apply(start, n)
		if l.suspects.Len()+l.quarantined.Len() > 8 {
			t.Fatal("memory is not bounded")
		}
		again, err := n.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeNotice(again); err != nil {
			t.Fatalf("refused its own encoding: %v", err)
		}
	})
}
