package quarantine

import "testing"

// FuzzDecodeNotice feeds arbitrary bytes from a peer: a notice that decodes
// keeps the list within its limits, and its encoding decodes again.
func FuzzDecodeNotice(f *testing.F) {
	for _, n := range []Notice{{}, affected(crashA, poison, harmless), clearNotice(poison, crashA, crashB)} {
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
