package strictcbor

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// message is a message with one field.
type message struct {
	Values []int `cbor:"1,keyasint"`
}

func TestDecoder(t *testing.T) {
	decoder := Decoder(Limits{Nesting: 4, Elements: 16, Pairs: 16, KnownFields: true})
	cases := []struct {
		name string
		raw  []byte
		ok   bool
	}{
		{"valid", []byte{0xa1, 0x01, 0x81, 0x07}, true},
		{"duplicate key", []byte{0xa2, 0x01, 0x80, 0x01, 0x80}, false},
		{"indefinite length", []byte{0xbf, 0x01, 0x80, 0xff}, false},
		{"tag", []byte{0xc1, 0xa1, 0x01, 0x80}, false},
		{"unknown field", []byte{0xa1, 0x02, 0x80}, false},
		{"too many elements", append([]byte{0xa1, 0x01, 0x91}, make([]byte, 17)...), false},
		{"nested too deeply", []byte{0xa1, 0x01, 0x81, 0x81, 0x81, 0x81, 0x81, 0x00}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := decoder.Unmarshal(c.raw, new(message))
			qt.Assert(t, err == nil, qt.Equals, c.ok, qt.Commentf("%v", err))
		})
	}
}
