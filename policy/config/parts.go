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

// The sections, in the order of their values in a stored head.
const (
	SectionTemplates Section = iota
	SectionAccounts
	SectionDomains
	SectionServices
	sectionCount
)

// Buckets is the number of hash buckets of each section; each non-empty bucket
// is one part.
type Buckets [sectionCount]uint16

const (
	// targetPartSize is the intended mean size of a part in bytes. A change
	// of one entry rewrites one part and the head, which lists all parts.
	targetPartSize = 8 << 10
	// The number of buckets is kept while the mean size of a part is between
	// minPartSize and maxPartSize, so that growth rarely rewrites a whole
	// section.
	minPartSize = targetPartSize / 4
	maxPartSize = targetPartSize * 2
	maxBuckets  = 1 << 12
)

// partContent is the encoded content of one part.
type partContent struct {
	section Section
	bucket  uint16
	data    []byte
}

// splitter collects the parts of a document.
type splitter struct {
	previous Buckets
	contents []partContent
	buckets  Buckets
	bytes    int // of the contents
	err      error
}

// splitDocument splits a document into non-empty parts and chooses the number
// of buckets of each section. The result is deterministic for the same
// document and previous numbers of buckets.
func splitDocument(doc *Document, previous Buckets) ([]partContent, Buckets, error) {
	s := &splitter{previous: previous}
	splitSection(s, SectionTemplates, doc.Templates, func(m map[string]Template) Document { return Document{Templates: m} })
	splitSection(s, SectionAccounts, doc.Accounts, func(m map[model.Account]Account) Document { return Document{Accounts: m} })
	splitSection(s, SectionDomains, doc.Domains, func(m map[model.Domain]Domain) Document { return Document{Domains: m} })
	splitSection(s, SectionServices, doc.Services, func(m map[model.Service]Service) Document { return Document{Services: m} })
	// The store takes any number of parts, but nodes that fetch the configuration from others
	// would reject a larger bundle.
	if s.err == nil && s.bytes > MaxDocumentBytes {
		s.err = fmt.Errorf("the configuration has %d bytes with this change, the limit is %d; remove what is not used", s.bytes, MaxDocumentBytes)
	}
	return s.contents, s.buckets, s.err
}

// splitSection distributes the entries of one section to hash buckets.
func splitSection[K ~string, V any](s *splitter, section Section, entries map[K]V, wrap func(map[K]V) Document) {
	if len(entries) == 0 || s.err != nil {
		return
	}
	whole, err := json.Marshal(wrap(entries))
	if err != nil {
		s.err = err
		return
	}
	n := bucketCount(len(whole), s.previous[section])
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
		err = fmt.Errorf("a part of the configuration has %d bytes, more than a value of the store may have; make its largest entry smaller", len(data))
	}
	if err != nil {
		s.err = err
		return
	}
	s.contents = append(s.contents, partContent{section: section, bucket: bucket, data: data})
	s.bytes += len(data)
}

// bucketCount returns the number of buckets for a section of the given size in
// bytes.
func bucketCount(size int, previous uint16) uint16 {
	if previous > 0 {
		mean := size / int(previous)
		if mean <= maxPartSize && (mean >= minPartSize || previous == 1) {
			return previous
		}
	}
	wanted := uint(size / targetPartSize)
	if wanted <= 1 {
		return 1
	}
	return uint16(min(1<<bits.Len(wanted-1), maxBuckets))
}

// Assemble builds the document of a head from the contents of its parts, by
// sum. The error is an *IncompleteError.
func Assemble(head *Head, contents map[Sum][]byte) (*Document, error) {
	return assemble(head, func(p Part) []byte { return contents[p.Sum] })
}

// assemble builds the document of a head. The function content returns the
// bytes of a part, or nil if they are missing.
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
			return nil, head.incompleteError(p, "missing or damaged")
		}
		part, err := p.decode(data)
		if err != nil {
			return nil, head.incompleteError(p, err.Error())
		}
		maps.Copy(doc.Templates, part.Templates)
		maps.Copy(doc.Accounts, part.Accounts)
		maps.Copy(doc.Domains, part.Domains)
		maps.Copy(doc.Services, part.Services)
	}
	return doc, nil
}

// incompleteError returns an error that rejects the head because of one of its
// parts.
func (h *Head) incompleteError(p Part, detail string) error {
	return &IncompleteError{Revision: h.Revision, Detail: fmt.Sprintf("part %s: %s", p.Key(), detail)}
}

// matches reports whether data is the content of the part.
func (p Part) matches(data []byte) bool {
	return data != nil && len(data) == int(p.Size) && Sum(sha256.Sum256(data)) == p.Sum
}

// decode decodes the content of the part, which may hold entries of its
// section only.
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
			return nil, errors.New("contains entries of another section")
		}
	}
	return part, nil
}
