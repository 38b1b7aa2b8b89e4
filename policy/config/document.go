// Package config is the dynamic configuration: the document that operators
// write, its check and compilation into a settings.Snapshot, the way it is
// split into values of the platform's store, and the decisions of committing a
// change and of following the accepted revisions.
//
// A Document is made of templates with typed parameters, and of accounts,
// failure domains and services, each an instance of a template. In a store it
// is a Head and the parts that the head lists; the compare-and-swap on the head
// is the commit point, so that the accepted configurations have one order. A
// node moves from one complete and valid revision to a higher one and never
// back.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"zinniafall/policy/model"
)

// MaxDocumentBytes is the size in bytes of the largest document that is read.
const MaxDocumentBytes = 32 << 20

// Kind is what a template makes.
type Kind string

// The kinds of template and of instance.
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

// Template is a body with parameters. A value of the body that is an object
// with the single member "parameter" stands for the parameter it names.
type Template struct {
	Kind       Kind                 `json:"kind"`
	Parameters map[string]Parameter `json:"parameters,omitempty"`
	Body       map[string]any       `json:"body"`
}

// Parameter is the type of one parameter. One without a default is required.
type Parameter struct {
	// Type is string, integer, number, boolean or list (of strings).
	Type        string   `json:"type"`
	Description string   `json:"description,omitempty"`
	Default     any      `json:"default,omitempty"`
	Minimum     *float64 `json:"minimum,omitempty"`
	Maximum     *float64 `json:"maximum,omitempty"`
	Enum        []any    `json:"enum,omitempty"`
}

// Account is a client account made from a template.
type Account struct {
	Template   string         `json:"template"`
	Parameters map[string]any `json:"parameters,omitempty"`
	// KeyHashes are the SHA-256 of the account's keys in hexadecimal; several
	// are accepted at once while a key is replaced.
	KeyHashes []string `json:"key_hashes,omitempty"`
}

// Domain is a failure domain made from a template.
type Domain struct {
	Template   string         `json:"template"`
	Parameters map[string]any `json:"parameters,omitempty"`
	// Out keeps the failure domain out of service.
	Out bool `json:"out,omitempty"`
}

// Service is a service made from a template.
type Service struct {
	Template   string         `json:"template"`
	Parameters map[string]any `json:"parameters,omitempty"`
}

// Problem is one thing wrong with a document.
type Problem struct {
	// Path is a JSON pointer to the place.
	Path string `json:"path"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Remedy says what to do.
	Remedy string `json:"remedy"`
}

// String gives the problem in one line.
func (p Problem) String() string { return fmt.Sprintf("%s: %s. %s.", p.Path, p.Message, p.Remedy) }

// InvalidError refuses a document with every problem found.
type InvalidError struct{ Problems []Problem }

// Error gives the first problem and the number of them.
func (e *InvalidError) Error() string {
	if len(e.Problems) == 0 {
		return "invalid configuration"
	}
	return fmt.Sprintf("invalid configuration with %d problems, the first: %s", len(e.Problems), e.Problems[0])
}

// Parse reads a document and returns every problem found in it, of form and
// of meaning. The document is nil when it could not be read at all.
func Parse(raw []byte) (*Document, []Problem) {
	value, problem := decode(raw)
	if problem != nil {
		return nil, []Problem{*problem}
	}
	problems := validate(documentSchema(), value, "")
	doc, err := typed(raw)
	if err != nil {
		if len(problems) == 0 {
			problems = append(problems, Problem{Message: err.Error(), Remedy: "Correct the type of the value"})
		}
		return nil, sorted(problems)
	}
	return doc, sorted(append(problems, Check(doc)...))
}

// decode reads one JSON value with nothing after it and no member twice.
func decode(raw []byte) (any, *Problem) {
	if len(raw) > MaxDocumentBytes {
		return nil, &Problem{Message: fmt.Sprintf("the document has %d bytes", len(raw)), Remedy: fmt.Sprintf("Keep it under %d bytes", MaxDocumentBytes)}
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return nil, &Problem{Message: "not one JSON value: " + err.Error(), Remedy: "Correct the JSON; nothing may follow the value"}
	}
	if path, twice := repeated(raw); twice {
		return nil, &Problem{Path: path, Message: "the member appears twice", Remedy: "Keep one of them"}
	}
	return value, nil
}

// typed reads a document with numbers kept as written.
func typed(raw []byte) (*Document, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	doc := new(Document)
	if err := decoder.Decode(doc); err != nil {
		return nil, err
	}
	return doc, nil
}

// repeated finds a member that an object of the valid JSON has twice.
func repeated(raw []byte) (string, bool) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	return repeatedIn(decoder, "")
}

func repeatedIn(decoder *json.Decoder, path string) (string, bool) {
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
		if inner, twice := repeatedIn(decoder, at); twice {
			return inner, true
		}
	}
	_, _ = decoder.Token() // the closing bracket
	return "", false
}

// sorted orders problems by their path and drops repeated ones.
func sorted(problems []Problem) []Problem {
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
