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

func TestOpen(t *testing.T) {
	sealer, err := NewSigner([][]byte{testSecret})
	qt.Assert(t, err, qt.IsNil)
	rotated, err := NewSigner([][]byte{nextSecret, testSecret})
	qt.Assert(t, err, qt.IsNil)
	text := sealer.Sign(testToken())
	deep := testToken()
	deep.Depth = MaxDepth
	cases := []struct {
		name   string
		sealer *Signer
		now    time.Time
		text   string
		kind   problem.Kind
	}{
		{"own", sealer, testNow, text, ""},
		{"older secret", rotated, testNow, text, ""},
		{"new secret is not known", sealer, testNow, rotated.Sign(testToken()), problem.Unauthenticated},
		{"expired", sealer, testNow.Add(time.Hour), text, problem.Unauthenticated},
		{"changed", sealer, testNow, "A" + text[1:], problem.Unauthenticated},
		{"empty", sealer, testNow, "", problem.Unauthenticated},
		{"too deep", sealer, testNow, sealer.Sign(deep), problem.BadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			token, refusal := c.sealer.Verify(c.now, c.text)
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

func FuzzOpen(f *testing.F) {
	sealer, err := NewSigner([][]byte{testSecret})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sealer.Sign(testToken()))
	f.Fuzz(func(t *testing.T, text string) {
		token, refusal := sealer.Verify(testNow, text)
		if refusal == nil && token.Depth >= MaxDepth {
			t.Fatalf("accepted depth %d", token.Depth)
		}
	})
}
