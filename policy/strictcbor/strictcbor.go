// Package strictcbor makes decoders for CBOR that comes from other processes.
// They refuse repeated map keys, lengths that are not given ahead and tags,
// and bound what one message can make the decoder allocate.
package strictcbor

import "github.com/fxamacker/cbor/v2"

// defaultNesting is the depth of nesting that fits most messages.
const defaultNesting = 8

// Limits bound one message; 0 means the library's own bound, and 8 for Nesting.
type Limits struct {
	// Nesting is the depth of values in each other.
	Nesting int
	// Elements bounds each array.
	Elements int
	// Pairs bounds each map.
	Pairs int
	// KnownFields refuses fields that the type does not have.
	KnownFields bool
}

// Decoder returns a decoder for the limits. It panics when a limit is outside
// the library's range.
func Decoder(limits Limits) cbor.DecMode {
	options := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  limits.Nesting,
		MaxArrayElements: limits.Elements,
		MaxMapPairs:      limits.Pairs,
	}
	if limits.Nesting == 0 {
		options.MaxNestedLevels = defaultNesting
	}
	if limits.KnownFields {
		options.ExtraReturnErrors = cbor.ExtraDecErrorUnknownField
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
