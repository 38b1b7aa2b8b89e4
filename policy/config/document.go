// Package config implements the dynamic configuration: the document that
// operators write, its validation and compilation into a settings.Snapshot,
// its storage as several values of the platform's key-value store, and the
// state machines that commit a change and follow the accepted revisions.
//
// A Document consists of templates with typed parameters and of accounts,
// failure domains and services, each an instance of a template. In the store
// it is a Head and the parts that the head lists. The compare-and-swap of the
// head is the commit point, so that accepted configurations are totally
// ordered. A node moves only from one complete and valid revision to a higher
// one.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"zinniafall/policy/model"
)

// MaxDocumentBytes is the size in bytes of the largest document that is
// accepted for parsing.
const MaxDocumentBytes = 32 << 20

// Kind is the kind of a template, of its instances, or of an Item.
type Kind string

// The kinds. KindTemplate occurs only in an Item; a template has one of the
// other kinds, that of its instances.
const (
	KindTemplate Kind = "template"
	KindAccount  Kind = "account"
	KindDomain   Kind = "domain"
	KindService  Kind = "service"
)

// Document is a whole configuration as operators write it.
type Document struct {
	Templates map[string]Template       `json:"templates,omitempty"`
	Accounts  map[model.Account]Account `json:"accounts,omitempty"`
	Domains   map[model.Domain]Domain   `json:"domains,omitempty"`
	Services  map[model.Service]Service `json:"services,omitempty"`
}

// Template is a body with parameters. An object in the body whose only member
// is "parameter" is replaced by the value of the parameter that it names.
type Template struct {
	Kind       Kind                 `json:"kind"`
	Parameters map[string]Parameter `json:"parameters,omitempty"`
	Body       map[string]any       `json:"body"`
}

// Parameter is the type of one parameter. A parameter without a default is
// required.
type Parameter struct {
	// Type is string, integer, number, boolean or list (of strings).
	Type        string   `json:"type"`
	Description string   `json:"description,omitempty"`
	Default     any      `json:"default,omitempty"`
	Minimum     *float64 `json:"minimum,omitempty"`
	Maximum     *float64 `json:"maximum,omitempty"`
	Enum        []any    `json:"enum,omitempty"`
}

// Account is a client account, an instance of a template.
type Account struct {
	Template   string         `json:"template"`
	Parameters map[string]any `json:"parameters,omitempty"`
	// KeyHashes are the SHA-256 hashes of the account's keys in hexadecimal.
	// Several are valid at once so that a key can be replaced without
	// interruption.
	KeyHashes []string `json:"key_hashes,omitempty"`
}

// Domain is a failure domain, an instance of a template.
type Domain struct {
	Template   string         `json:"template"`
	Parameters map[string]any `json:"parameters,omitempty"`
	// Out reports whether operators have taken the failure domain out of
	// service.
	Out bool `json:"out,omitempty"`
}

// Service is a service, an instance of a template.
type Service struct {
	Template   string         `json:"template"`
	Parameters map[string]any `json:"parameters,omitempty"`
}

// Problem describes one error in a document or change.
type Problem struct {
	// Path is a JSON pointer to the invalid value.
	Path string `json:"path"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Remedy says how to correct it.
	Remedy string `json:"remedy"`
}

// String returns the problem on one line.
func (p Problem) String() string { return fmt.Sprintf("%s: %s. %s.", p.Path, p.Message, p.Remedy) }

// InvalidError rejects a document and lists every problem found in it.
type InvalidError struct{ Problems []Problem }

// Error returns the number of problems and the first of them.
func (e *InvalidError) Error() string {
	if len(e.Problems) == 0 {
		return "invalid configuration"
	}
	return fmt.Sprintf("invalid configuration with %d problems, the first: %s", len(e.Problems), e.Problems[0])
}

// Parse parses a document and returns every syntactic and semantic problem.
// The document is nil if it could not be parsed at all.
func Parse(raw []byte) (*Document, []Problem) {
	value, problem := decodeValue(raw)
	if problem != nil {
		return nil, []Problem{*problem}
	}
	problems := validate(documentSchema(), value, "")
	doc, err := decodeDocument(raw)
	if err != nil {
		if len(problems) == 0 {
			problems = append(problems, Problem{Message: err.Error(), Remedy: "Correct the type of the value"})
		}
		return nil, sortedUnique(problems)
	}
	return doc, sortedUnique(append(problems, Check(doc)...))
}

// decodeValue decodes one JSON value and rejects trailing data and duplicate
// members.
func decodeValue(raw []byte) (any, *Problem) {
	if len(raw) > MaxDocumentBytes {
		return nil, &Problem{Message: fmt.Sprintf("the document has %d bytes", len(raw)), Remedy: fmt.Sprintf("Keep it under %d bytes", MaxDocumentBytes)}
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return nil, &Problem{Message: "not one JSON value: " + err.Error(), Remedy: "Correct the JSON; nothing may follow the value"}
	}
	if path, found := findDuplicateMember(raw); found {
		return nil, &Problem{Path: path, Message: "the member appears twice", Remedy: "Keep one of them"}
	}
	return value, nil
}

// decodeDocument decodes a document and keeps numbers as they are written.
func decodeDocument(raw []byte) (*Document, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	doc := new(Document)
	if err := decoder.Decode(doc); err != nil {
		return nil, err
	}
	return doc, nil
}

// findDuplicateMember returns the path of the first object member in the valid
// JSON whose name occurs twice in its object.
func findDuplicateMember(raw []byte) (string, bool) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	return findDuplicateMemberIn(decoder, "")
}

func findDuplicateMemberIn(decoder *json.Decoder, path string) (string, bool) {
	token, err := decoder.Token()
	delimiter, ok := token.(json.Delim)
	if err != nil || !ok {
		return "", false
	}
	seen := make(map[string]bool)
	for i := 0; decoder.More(); i++ {
		name := fmt.Sprint(i)
		if delimiter == '{' {
			member, err := decoder.Token()
			if err != nil {
				return "", false
			}
			name = fmt.Sprint(member)
		}
		at := path + "/" + escape(name)
		if seen[name] {
			return at, true
		}
		seen[name] = true
		if inner, found := findDuplicateMemberIn(decoder, at); found {
			return inner, true
		}
	}
	_, _ = decoder.Token() // the closing bracket
	return "", false
}

// sortedUnique sorts problems by path and message and removes duplicates, in
// place.
func sortedUnique(problems []Problem) []Problem {
	sort.Slice(problems, func(i, j int) bool {
		if problems[i].Path != problems[j].Path {
			return problems[i].Path < problems[j].Path
		}
		return problems[i].Message < problems[j].Message
	})
	kept := problems[:0]
	for i, p := range problems {
		if i == 0 || p != problems[i-1] {
			kept = append(kept, p)
		}
	}
	return kept
}
