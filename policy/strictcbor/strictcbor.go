// Package strictcbor provides decoders for CBOR from other processes. They
// reject duplicate map keys, indefinite lengths and tags, and limit how much
// memory one message can make the decoder allocate.
package strictcbor

import "github.com/fxamacker/cbor/v2"

// defaultNesting is the nesting depth that is sufficient for most messages.
const defaultNesting = 8

// Limits are the limits for one message. A zero Nesting means 8, and any other
// zero limit means the library's default.
type Limits struct {
	// Nesting is the maximum nesting depth.
	Nesting int
	// Elements is the maximum number of elements of each array.
	Elements int
	// Pairs is the maximum number of pairs of each map.
	Pairs int
	// KnownFields rejects fields that the destination type does not have.
	KnownFields bool
	// AnyBytes accepts text that is not UTF-8, such as header values in Latin-1.
	AnyBytes bool
}

// Decoder returns a decoder with the given limits. It panics if a limit is
// outside the library's range.
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
	if limits.AnyBytes {
		options.UTF8 = cbor.UTF8DecodeInvalid
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
