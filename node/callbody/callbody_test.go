package callbody

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

// TestBodyIsReadWholeOrNotAtAll guards against an attempt that gets a part of a body with a
// regular end, after an earlier attempt has read some of it.
func TestBodyIsReadWholeOrNotAtAll(t *testing.T) {
	for _, test := range []struct {
		name string
		rest io.Reader
		read int // bytes that the first attempt reads
		err  error
	}{
		{"in memory", nil, 4, nil},
		{"streamed, not read", strings.NewReader("rest"), 0, nil},
		{"streamed, head read", strings.NewReader("rest"), 4, nil},
		{"streamed, partly read", strings.NewReader("rest"), 5, ErrConsumed},
		{"streamed, read to its end", strings.NewReader("rest"), 8, ErrConsumed},
		{"streamed, cut off", iotest.ErrReader(io.ErrUnexpectedEOF), 5, ErrConsumed},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := New([]byte("head"), test.rest)
			first, err := b.Open()
			qt.Assert(t, err, qt.IsNil)
			_, _ = io.ReadFull(first, make([]byte, test.read))
			second, err := b.Open()
			qt.Assert(t, err, qt.Equals, test.err)
			qt.Assert(t, b.Resendable(), qt.Equals, err == nil)
			if err != nil {
				return
			}
			whole, err := io.ReadAll(second)
			qt.Assert(t, err, qt.IsNil)
			want := "head"
			if b.Streamed() {
				want += "rest"
				_, err = io.ReadAll(first)
				qt.Assert(t, err, qt.Equals, ErrReplaced)
			}
			qt.Assert(t, string(whole), qt.Equals, want)
		})
	}
}
