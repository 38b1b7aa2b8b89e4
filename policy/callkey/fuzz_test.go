package callkey

import (
	"testing"
	"time"

	"zinniafall/policy/model"
)

// FuzzParse feeds text of a caller. Only the text that was issued parses.
func FuzzParse(f *testing.F) {
	secrets := []Secret{secret(f, "a fleet secret of today")}
	key := issueOne(f, NewIssuer(testOptions(f)), start)
	for _, text := range []string{"", key, key + "A", key[1:], "0191e2a0-0000-7000-8000-000000000000"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		p, err := Parse(text, secrets)
		if err == nil && text != key {
			t.Fatalf("forged: %+v", p)
		}
		if err != nil && text == key {
			t.Fatalf("refused: %v", err)
		}
	})
}

// FuzzCallerKey feeds an Idempotency-Key: what is accepted lies in the window.
func FuzzCallerKey(f *testing.F) {
	f.Add(callerKey(start, 1))
	f.Add("01000000-0000-7000-8000-000000000000")
	f.Add("ffffffff-ffff-7fff-bfff-ffffffffffff")
	f.Fuzz(func(t *testing.T, text string) {
		g, step := NewBinder(BinderOptions{}).Begin(start, "town", text, "issued")
		if step.Action != Create {
			return
		}
		if age := start.Sub(g.born); age > 15*time.Minute || age < -15*time.Minute {
			t.Fatalf("accepted a key of age %v", age)
		}
	})
}

// FuzzDecodeHandover feeds bytes of a peer. What is accepted can be asked.
func FuzzDecodeHandover(f *testing.F) {
	i := NewIssuer(testOptions(f))
	r := pay(issueOne(f, i, start))
	i.Complete(start, i.Claim(start, r).Serial, answer("paid"))
	raw, err := i.Seal(start).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0xa1, 0x05, 0x9a, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		h, err := DecodeHandover(raw)
		if err != nil {
			return
		}
		a := NewArchive([]Secret{secret(t, "a fleet secret of today")}, 1<<16)
		if a.Adopt(start, h) && a.bytes > 1<<16 {
			t.Fatal("memory is not bounded")
		}
		if c := a.Claim(start, r); c.Verdict == Start || c.Verdict == Wait && h.Process == (model.ProcessID{1}) {
			t.Fatalf("an archive does not run calls: %v", c.Verdict)
		}
	})
}
