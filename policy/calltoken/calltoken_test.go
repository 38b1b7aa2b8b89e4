package calltoken

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/problem"
)

var (
	testNow    = time.Unix(1_700_000_000, 0)
	testSecret = []byte("0123456789abcdef0123456789abcdef")
	nextSecret = []byte("fedcba9876543210fedcba9876543210")
)

func testToken() Token {
	return Token{Account: "alder", Depth: 3, Allowance: 2, Expires: testNow.Add(time.Second).UnixMilli()}
}

func TestSignerNeedsASecret(t *testing.T) {
	_, err := NewSigner(nil)
	qt.Assert(t, err, qt.IsNotNil)
}

func TestVerify(t *testing.T) {
	signer, err := NewSigner([][]byte{testSecret})
	qt.Assert(t, err, qt.IsNil)
	rotated, err := NewSigner([][]byte{nextSecret, testSecret})
	qt.Assert(t, err, qt.IsNil)
	text := signer.Sign(testToken())
	deep := testToken()
	deep.Depth = MaxDepth
	cases := []struct {
		name   string
		signer *Signer
		now    time.Time
		text   string
		kind   problem.Kind
	}{
		{"same secret", signer, testNow, text, ""},
		{"older secret", rotated, testNow, text, ""},
		{"newer secret, not accepted yet", signer, testNow, rotated.Sign(testToken()), problem.Unauthenticated},
		{"expired", signer, testNow.Add(time.Hour), text, problem.Unauthenticated},
		{"modified", signer, testNow, "A" + text[1:], problem.Unauthenticated},
		{"empty", signer, testNow, "", problem.Unauthenticated},
		{"nested too deeply", signer, testNow, signer.Sign(deep), problem.BadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			token, refusal := c.signer.Verify(c.now, c.text)
			if c.kind == "" {
				qt.Assert(t, refusal == nil, qt.IsTrue)
				qt.Assert(t, token, qt.Equals, testToken())
				return
			}
			qt.Assert(t, refusal != nil, qt.IsTrue)
			qt.Assert(t, refusal.Kind, qt.Equals, c.kind)
		})
	}
}

func FuzzVerify(f *testing.F) {
	signer, err := NewSigner([][]byte{testSecret})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(signer.Sign(testToken()))
	f.Fuzz(func(t *testing.T, text string) {
		token, refusal := signer.Verify(testNow, text)
		if refusal == nil && token.Depth >= MaxDepth {
			t.Fatalf("accepted depth %d", token.Depth)
		}
	})
}
