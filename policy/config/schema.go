package config

import (
	"embed"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed schemas/*.json
var schemaFiles embed.FS

// documentSchema is the schema of a whole document.
var documentSchema = sync.OnceValue(func() *jsonschema.Schema { return loadSchema("document") })

// bodySchemas are the schemas of the bodies of each kind after binding.
var bodySchemas = sync.OnceValue(func() map[Kind]*jsonschema.Schema {
	schemas := make(map[Kind]*jsonschema.Schema)
	for _, k := range []Kind{KindAccount, KindDomain, KindService} {
		schemas[k] = loadSchema(string(k))
	}
	return schemas
})

// loadSchema compiles an embedded schema. It panics if the embedded file is
// invalid, which the tests of this package rule out.
func loadSchema(name string) *jsonschema.Schema {
	file, err := schemaFiles.Open("schemas/" + name + ".json")
	if err != nil {
		panic(err)
	}
	defer file.Close()
	value, err := jsonschema.UnmarshalJSON(file)
	if err != nil {
		panic(err)
	}
	schema, err := compileSchema(name, value)
	if err != nil {
		panic(err)
	}
	return schema
}

func compileSchema(name string, value any) (*jsonschema.Schema, error) {
	compiler := jsonschema.NewCompiler()
	address := "zinniafall:///" + name
	if err := compiler.AddResource(address, value); err != nil {
		return nil, err
	}
	return compiler.Compile(address)
}

// validate validates a value against a schema. The problems have paths below
// path.
func validate(schema *jsonschema.Schema, value any, path string) []Problem {
	var invalid *jsonschema.ValidationError
	if !errors.As(schema.Validate(value), &invalid) {
		return nil
	}
	var problems []Problem
	collectProblems(invalid, path, &problems)
	return problems
}

// collectProblems converts the innermost causes of a validation error to
// problems.
func collectProblems(e *jsonschema.ValidationError, path string, problems *[]Problem) {
	at := path
	for _, token := range e.InstanceLocation {
		at += "/" + escape(token)
	}
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			if isNameMap(e.InstanceLocation) {
				addProblem(problems, at+"/"+escape(name), "not a valid name", nameRemedy)
				continue
			}
			addProblem(problems, at+"/"+escape(name), "unknown member", "Remove it or correct its name")
		}
	case *kind.Required:
		for _, name := range k.Missing {
			addProblem(problems, at+"/"+escape(name), "missing", "Add it")
		}
	default:
		if len(e.Causes) == 0 {
			addProblem(problems, at, e.ErrorKind.LocalizedString(message.NewPrinter(language.English)), remedyOf(e.ErrorKind))
			return
		}
		for _, cause := range e.Causes {
			collectProblems(cause, path, problems)
		}
	}
}

// nameRemedy describes the syntax of names.
const nameRemedy = "Begin with a small letter or a digit and use at most 63 of small letters, digits, '_', '-' and '.'; a parameter's name has only letters, digits and '_'"

// isNameMap reports whether operators choose the names of the members of the
// object at a location. The schema restricts these names by patternProperties
// and not by propertyNames because the library reports the errors of
// propertyNames at the wrong location.
func isNameMap(location []string) bool {
	if len(location) == 1 {
		return true
	}
	return len(location) == 3 && location[0] == "templates" && location[2] == "parameters"
}

func addProblem(problems *[]Problem, path, message, remedy string) {
	*problems = append(*problems, Problem{Path: path, Message: message, Remedy: remedy})
}

// remedyOf returns the remedy for a violated schema keyword.
func remedyOf(violated jsonschema.ErrorKind) string {
	switch k := violated.(type) {
	case *kind.Type:
		return "Use a value of type " + strings.Join(k.Want, " or ")
	case *kind.Minimum:
		return "Use " + k.Want.RatString() + " or more"
	case *kind.Maximum:
		return "Use " + k.Want.RatString() + " or less"
	case *kind.Enum:
		return "Use one of " + fmt.Sprint(k.Want...)
	case *kind.Pattern:
		return "Use a value that matches " + k.Want
	case *kind.MaxItems, *kind.MaxProperties, *kind.MaxLength:
		return "Shorten it"
	case *kind.UniqueItems:
		return "Remove the repeated value"
	default:
		return "Correct the value"
	}
}

// parameterSchema builds the schema of the parameters of a template.
func parameterSchema(t Template) map[string]any {
	properties := make(map[string]any)
	required := []any{}
	for name, p := range t.Parameters {
		properties[name] = p.schema()
		if p.Default == nil {
			required = append(required, name)
		}
	}
	return map[string]any{
		"type": "object", "additionalProperties": false,
		"properties": properties, "required": required,
	}
}

func (p Parameter) schema() map[string]any {
	schema := map[string]any{"type": p.Type}
	if p.Type == "list" {
		schema = map[string]any{"type": "array", "items": map[string]any{"type": "string"}}
	}
	if p.Minimum != nil {
		schema["minimum"] = *p.Minimum
	}
	if p.Maximum != nil {
		schema["maximum"] = *p.Maximum
	}
	if p.Enum != nil {
		schema["enum"] = slices.Clone(p.Enum)
	}
	return schema
}

// pointerEscapes escapes the special characters in a token of a JSON pointer.
var pointerEscapes = strings.NewReplacer("~", "~0", "/", "~1")

// escape escapes a token of a JSON pointer.
func escape(token string) string { return pointerEscapes.Replace(token) }
