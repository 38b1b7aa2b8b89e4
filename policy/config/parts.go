package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"zinniafall/policy/model"
)

// Section is one of the four maps of a document.
type Section uint8

// The sections in the order of their values in a head.
const (
	SectionTemplates Section = iota
	SectionAccounts
	SectionDomains
	SectionServices
	sectionCount
)

// Buckets is the number of parts that each section is hashed into.
type Buckets [sectionCount]uint16

const (
	// partSize is the mean size in bytes that parts are made for. A change of
	// one entry moves one part and the head, which lists all parts.
	partSize = 8 << 10
	// The number of buckets stays as it is while the mean size of a part is
	// between these, so that growth seldom rewrites a whole section.
	minPartSize = partSize / 4
	maxPartSize = partSize * 2
	maxBuckets  = 1 << 12
)

// fragment is the content of one part.
type fragment struct {
	section Section
	bucket  uint16
	data    []byte
}

// splitter collects the fragments of a document.
type splitter struct {
	previous  Buckets
	fragments []fragment
	buckets   Buckets
	err       error
}

// split cuts a document into fragments, none empty, for the numbers of buckets
// that fit it. The same document and numbers give the same bytes.
func split(doc *Document, previous Buckets) ([]fragment, Buckets, error) {
	s := &splitter{previous: previous}
	cut(s, SectionTemplates, doc.Templates, func(m map[string]Template) Document { return Document{Templates: m} })
	cut(s, SectionAccounts, doc.Accounts, func(m map[model.Account]Account) Document { return Document{Accounts: m} })
	cut(s, SectionDomains, doc.Domains, func(m map[model.Domain]Domain) Document { return Document{Domains: m} })
	cut(s, SectionServices, doc.Services, func(m map[model.Service]Service) Document { return Document{Services: m} })
	return s.fragments, s.buckets, s.err
}

// cut hashes one section's entries into buckets.
func cut[K ~string, V any](s *splitter, section Section, entries map[K]V, wrap func(map[K]V) Document) {
	if len(entries) == 0 || s.err != nil {
		return
	}
	whole, err := json.Marshal(wrap(entries))
	if err != nil {
		s.err = err
		return
	}
	n := bucketsFor(len(whole), s.previous[section])
	s.buckets[section] = n
	groups := make([]map[K]V, n)
	for name, entry := range entries {
		bucket := xxhash.Sum64String(string(name)) % uint64(n)
		if groups[bucket] == nil {
			groups[bucket] = make(map[K]V)
		}
		groups[bucket][name] = entry
	}
	for bucket, group := range groups {
		if group != nil {
			s.add(section, uint16(bucket), wrap(group))
		}
	}
}

func (s *splitter) add(section Section, bucket uint16, part Document) {
	data, err := json.Marshal(part)
	if err == nil && len(data) > MaxValueBytes {
		err = fmt.Errorf("a part of the configuration has %d bytes, more than a value of the store holds; make its largest entry smaller", len(data))
	}
	if err != nil {
		s.err = err
		return
	}
	s.fragments = append(s.fragments, fragment{section: section, bucket: bucket, data: data})
}

// bucketsFor returns the number of buckets for a section of a size in bytes.
func bucketsFor(size int, previous uint16) uint16 {
	if previous > 0 {
		mean := size / int(previous)
		if mean <= maxPartSize && (mean >= minPartSize || previous == 1) {
			return previous
		}
	}
	wanted := uint(size / partSize)
	if wanted <= 1 {
		return 1
	}
	return uint16(min(1<<bits.Len(wanted-1), maxBuckets))
}

// Assemble puts the document of a head together from the contents of its
// parts. The error is an *IncompleteError.
func Assemble(head *Head, contents map[Sum][]byte) (*Document, error) {
	return assemble(head, func(p Part) []byte { return contents[p.Sum] })
}

// assemble puts the document of a head together. The function content returns
// a part's bytes, or nil when they are missing.
func assemble(head *Head, content func(Part) []byte) (*Document, error) {
	doc := &Document{
		Templates: make(map[string]Template),
		Accounts:  make(map[model.Account]Account),
		Domains:   make(map[model.Domain]Domain),
		Services:  make(map[model.Service]Service),
	}
	for _, p := range head.Parts {
		data := content(p)
		if !p.matches(data) {
			return nil, head.incomplete(p, "missing or damaged")
		}
		part, err := p.decode(data)
		if err != nil {
			return nil, head.incomplete(p, err.Error())
		}
		maps.Copy(doc.Templates, part.Templates)
		maps.Copy(doc.Accounts, part.Accounts)
		maps.Copy(doc.Domains, part.Domains)
		maps.Copy(doc.Services, part.Services)
	}
	return doc, nil
}

// incomplete refuses a head for one of its parts.
func (h *Head) incomplete(p Part, detail string) error {
	return &IncompleteError{Revision: h.Revision, Detail: fmt.Sprintf("part %s: %s", p.Key(), detail)}
}

// matches reports whether data is the part's content.
func (p Part) matches(data []byte) bool {
	return data != nil && len(data) == int(p.Size) && Sum(sha256.Sum256(data)) == p.Sum
}

// decode reads the part's content, which holds entries of its section only.
func (p Part) decode(data []byte) (*Document, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	decoder.DisallowUnknownFields()
	part := new(Document)
	if err := decoder.Decode(part); err != nil {
		return nil, err
	}
	counts := [sectionCount]int{len(part.Templates), len(part.Accounts), len(part.Domains), len(part.Services)}
	for i, count := range counts {
		if count > 0 && Section(i) != p.Section {
			return nil, errors.New("holds entries of another section")
		}
	}
	return part, nil
}
