package strictcbor

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// pair is a message with one field.
type pair struct {
	Values []int `cbor:"1,keyasint"`
}

func TestDecoder(t *testing.T) {
	decoder := Decoder(Limits{Nesting: 4, Elements: 16, Pairs: 16, KnownFields: true})
	cases := []struct {
		name string
		raw  []byte
		ok   bool
	}{
		{"sound", []byte{0xa1, 0x01, 0x81, 0x07}, true},
		{"repeated key", []byte{0xa2, 0x01, 0x80, 0x01, 0x80}, false},
		{"length not given ahead", []byte{0xbf, 0x01, 0x80, 0xff}, false},
		{"tag", []byte{0xc1, 0xa1, 0x01, 0x80}, false},
		{"unknown field", []byte{0xa1, 0x02, 0x80}, false},
		{"too many elements", append([]byte{0xa1, 0x01, 0x91}, make([]byte, 17)...), false},
		{"too deep", []byte{0xa1, 0x01, 0x81, 0x81, 0x81, 0x81, 0x81, 0x00}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := decoder.Unmarshal(c.raw, new(pair))
			qt.Assert(t, err == nil, qt.Equals, c.ok, qt.Commentf("%v", err))
		})
	}
}
