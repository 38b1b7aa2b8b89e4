package quarantine

import "testing"

// FuzzDecodeNotice feeds bytes of a peer: what is accepted stays within the
// list's bounds, and its own encoding is accepted again.
func FuzzDecodeNotice(f *testing.F) {
	for _, n := range []Notice{{}, struck(crashA, poison, innocent), cleared(poison, crashA, crashB)} {
		raw, _ := n.Encode()
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		n, err := DecodeNotice(raw)
		if err != nil {
			return
		}
		l := New(Options{MaxSuspects: 4, MaxQuarantined: 4})
		l.Apply(start, n)
		again, err := n.Encode()
		if _, refused := DecodeNotice(again); err != nil || refused != nil || l.suspects.Len()+l.quarantined.Len() > 8 {
			t.Fatalf("%v, %v, %d suspects", err, refused, l.suspects.Len())
		}
	})
}
