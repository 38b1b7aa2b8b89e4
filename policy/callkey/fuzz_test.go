package callkey

import "testing"

// FuzzKey feeds text of a caller: only what was issued parses, and a caller's
// own key is bound only if it lies in the window.
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
		if step.Action == Create && start.Sub(g.born).Abs() > defaultWindow+defaultMargin/2 {
			t.Fatalf("bound a key born at %v", g.born)
		}
	})
}

// FuzzDecodeHandover feeds bytes of a peer. What is accepted can be asked.
func FuzzDecodeHandover(f *testing.F) {
	opts := testOptions(f)
	i := NewIssuer(opts)
	r := pay(issueOne(f, i, start))
	i.Complete(start, i.Claim(start, r).Serial, answer("paid"))
	raw, _ := i.Seal(start).Encode()
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		h, err := DecodeHandover(raw)
		if err != nil {
			return
		}
		a := NewArchive(opts.Secrets, 1<<16)
		a.Add(start, h)
		if c := a.Claim(start, r); c.Verdict != Replay && c.Verdict != Refuse || a.bytes > 1<<16 {
			t.Fatalf("verdict %v, %d bytes", c.Verdict, a.bytes)
		}
	})
}
