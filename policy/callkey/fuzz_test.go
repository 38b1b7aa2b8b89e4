package callkey

import "testing"

// FuzzKey feeds arbitrary text from a caller: only an issued key parses, and
// a caller's own key is bound only if its creation time is in the window.
func FuzzKey(f *testing.F) {
	opts := testOptions(f)
	key := issueOne(f, NewIssuer(opts), start)
	for _, text := range []string{"", key, key + "A", key[1:], callerKey(start, 1), "ffffffff-ffff-7fff-bfff-ffffffffffff"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if p, refusal := Parse(text, opts.Secrets); (refusal == nil) != (text == key) {
			t.Fatalf("%+v, %v", p, refusal)
		}
		g, step := NewBinder(BinderOptions{}).Begin(start, "town", text, "issued")
		if step.Action == Create && start.Sub(g.keyCreated).Abs() > defaultWindow+defaultMargin/2 {
			t.Fatalf("bound a key created at %v", g.keyCreated)
		}
	})
}

// FuzzDecodeHandover feeds arbitrary bytes from a peer: a handover that decodes
// can be added to an archive and queried, within the archive's memory limit.
func FuzzDecodeHandover(f *testing.F) {
	opts := testOptions(f)
	i := NewIssuer(opts)
	r := testRequest(issueOne(f, i, start))
	i.Complete(start, i.Claim(start, r).Serial, testAnswer("paid"))
	raw, _ := i.Seal(start).Encode()
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		h, err := DecodeHandover(raw)
		if err != nil {
			return
		}
		a := NewArchive(opts.Secrets, 1<<16)
		a.AddHandover(start, h)
		if c := a.Claim(start, r); c.Verdict != Replay && c.Verdict != Refuse || a.bytes > 1<<16 {
			t.Fatalf("verdict %v, %d bytes", c.Verdict, a.bytes)
		}
	})
}
