package static

import (
	"bytes"
	_ "embed"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"sort"
	"strings"

	"github.com/samber/oops"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"zinniafall/node/trust"
	"zinniafall/policy/model"
)

//go:embed schema.json
var schemaJSON []byte

// schema is the JSON schema of a settings file.
var schema = compileSchema()

func compileSchema() *jsonschema.Schema {
	parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("settings.json", parsed); err != nil {
		panic(err)
	}
	return compiler.MustCompile("settings.json")
}

// Problem is one error in a settings file.
type Problem struct {
	// Path is the JSON pointer of the invalid value; "/" is the whole file.
	Path string
	// Message says what is wrong.
	Message string
	// Remedy says what to write instead.
	Remedy string
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s. %s", p.Path, p.Message, p.Remedy)
}

// ProblemsError lists every problem of a settings file.
type ProblemsError struct{ Problems []Problem }

// Error returns the problems, one per line.
func (e *ProblemsError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates a settings file. If the file is invalid, the error is
// a *ProblemsError that lists every problem.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.In("settings").Hint("Name a readable file with --settings.").Wrap(err)
	}
	return Parse(raw)
}

// Parse decodes and validates the content of a settings file, with errors as for
// Load, and fills in the defaults.
func Parse(raw []byte) (*Settings, error) {
	if problem := checkSyntax(raw); problem != nil {
		return nil, &ProblemsError{Problems: []Problem{*problem}}
	}
	instance, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return nil, oops.In("settings").Wrap(err)
	}
	problems := schemaProblems(schema.Validate(instance))
	s := defaultSettings()
	if err := json.Unmarshal(raw, s); err != nil && len(problems) == 0 {
		problems = append(problems, Problem{"/", err.Error(), "Write the value in the type that docs/settings.md gives."})
	}
	problems = append(problems, s.semanticProblems()...)
	if len(problems) > 0 {
		sort.SliceStable(problems, func(i, j int) bool { return problems[i].Path < problems[j].Path })
		return nil, &ProblemsError{Problems: problems}
	}
	if s.Peers.Advertise == "" {
		s.Peers.Advertise = model.NodeAddr(s.Peers.Listen)
	}
	return s, nil
}

// checkSyntax returns a problem if raw is not exactly one JSON value.
func checkSyntax(raw []byte) *Problem {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	var value any
	if err := decoder.Decode(&value); err != nil {
		return &Problem{"/", "the file is not JSON: " + err.Error(), "Correct the syntax."}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return &Problem{"/", "there is text after the JSON value", "Remove what follows the closing brace."}
	}
	return nil
}

// schemaProblems returns the innermost causes of a failed validation.
func schemaProblems(err error) []Problem {
	failed, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return nil
	}
	if len(failed.Causes) == 0 {
		text := failed.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		path := "/" + strings.Join(failed.InstanceLocation, "/")
		return []Problem{{path, text, "See docs/settings.md for the fields and their ranges."}}
	}
	var problems []Problem
	for _, cause := range failed.Causes {
		problems = append(problems, schemaProblems(cause)...)
	}
	return problems
}

// semanticProblems returns the problems that the schema cannot express.
func (s *Settings) semanticProblems() []Problem {
	problems := s.addressProblems()
	problems = append(problems, s.duplicateProblems()...)
	return append(problems, s.secretProblems()...)
}

// namedAddress is an address and the JSON pointer of its setting.
type namedAddress struct {
	path    string
	address string
}

func (s *Settings) addresses() []namedAddress {
	list := []namedAddress{
		{"/callers/listen", s.Callers.Listen},
		{"/peers/listen", s.Peers.Listen},
		{"/operators/listen", s.Operators.Listen},
		{"/target/listen", s.Target.Listen},
	}
	if s.Peers.Advertise != "" {
		list = append(list, namedAddress{"/peers/advertise", string(s.Peers.Advertise)})
	}
	for i, known := range s.Peers.Known {
		list = append(list, namedAddress{fmt.Sprintf("/peers/known/%d", i), string(known)})
	}
	return list
}

func (s *Settings) addressProblems() []Problem {
	var problems []Problem
	for _, a := range s.addresses() {
		if a.address == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(a.address); err != nil {
			problems = append(problems, Problem{a.path, fmt.Sprintf("%q is not an address", a.address), "Write an IP number and a port from 1 to 65535, such as 192.0.2.7:7400."})
		}
	}
	if isUnspecified(string(s.Peers.Listen)) && s.Peers.Advertise == "" {
		problems = append(problems, Problem{"/peers/advertise", "peers.listen is no address that others can reach", "Set peers.advertise to the VM's IP number and port."})
	}
	return problems
}

func isUnspecified(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && (parsed.Addr().IsUnspecified() || parsed.Port() == 0)
}

func (s *Settings) duplicateProblems() []Problem {
	var problems []Problem
	seen := make(map[string]string)
	for _, a := range s.addresses()[:4] {
		if a.address == "" || isUnspecified(a.address) && strings.HasSuffix(a.address, ":0") {
			continue
		}
		if first, duplicate := seen[a.address]; duplicate {
			problems = append(problems, Problem{a.path, fmt.Sprintf("%s is used by %s as well", a.address, first), "Give each listener an address of its own."})
			continue
		}
		seen[a.address] = a.path
	}
	return problems
}

func (s *Settings) secretProblems() []Problem {
	var problems []Problem
	for i, text := range s.Fleet.Secrets {
		path := fmt.Sprintf("/fleet/secrets/%d", i)
		raw, err := base64.StdEncoding.DecodeString(text)
		switch {
		case err != nil:
			problems = append(problems, Problem{path, "the secret is not base64", "Make one with `head -c 32 /dev/urandom | base64`."})
		case len(raw) < trust.MinSecretBytes:
			problems = append(problems, Problem{path, fmt.Sprintf("the secret has %d bytes", len(raw)), "Use at least 32 random bytes."})
		}
	}
	return problems
}
