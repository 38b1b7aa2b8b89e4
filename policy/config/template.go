package config

import (
	"fmt"
	"maps"
	"slices"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// compiledTemplate is a template with the schema of its parameters. The schema
// is nil if the template itself has a problem.
type compiledTemplate struct {
	Template
	schema *jsonschema.Schema
}

// templateSet holds the compiled templates of a document and their problems.
type templateSet struct {
	templates map[string]*compiledTemplate
	problems  []Problem
}

func newTemplateSet(templates map[string]Template) *templateSet {
	s := &templateSet{templates: make(map[string]*compiledTemplate, len(templates))}
	for _, name := range slices.Sorted(maps.Keys(templates)) {
		s.addTemplate(name, templates[name])
	}
	return s
}

func (s *templateSet) addTemplate(name string, t Template) {
	path := "/templates/" + escape(name)
	s.templates[name] = &compiledTemplate{Template: t}
	before := len(s.problems)
	schema, err := compileSchema("templates/"+name, parameterSchema(t))
	if err != nil {
		addProblem(&s.problems, path+"/parameters", err.Error(), "Correct the types of the parameters")
		return
	}
	s.checkDefaults(path, t)
	for _, member := range slices.Sorted(maps.Keys(t.Body)) {
		reference, ok := parameterReference(t.Body[member])
		if _, declared := t.Parameters[reference]; ok && !declared {
			addProblem(&s.problems, path+"/body/"+escape(member), fmt.Sprintf("no parameter %q", reference), "Declare it under parameters or correct its name")
		}
	}
	if len(s.problems) == before {
		s.templates[name].schema = schema
	}
}

// checkDefaults validates the range of each parameter, and its default against
// its own type.
func (s *templateSet) checkDefaults(path string, t Template) {
	for _, name := range slices.Sorted(maps.Keys(t.Parameters)) {
		p := t.Parameters[name]
		at := path + "/parameters/" + escape(name)
		if p.Minimum != nil && p.Maximum != nil && *p.Minimum > *p.Maximum {
			addProblem(&s.problems, at+"/minimum", "the minimum is above the maximum", "Swap or correct them")
		}
		if p.Default == nil {
			continue
		}
		schema, err := compileSchema("default", p.schema())
		if err != nil {
			addProblem(&s.problems, at, err.Error(), "Correct the type of the parameter")
			continue
		}
		s.problems = append(s.problems, validate(schema, p.Default, at+"/default")...)
	}
}

// parameterReference returns the name of the parameter if a value of a body is
// a reference to one.
func parameterReference(value any) (string, bool) {
	object, ok := value.(map[string]any)
	if !ok || len(object) != 1 {
		return "", false
	}
	name, ok := object["parameter"].(string)
	return name, ok
}

// body returns the body of the template with each reference replaced by the
// value or default of its parameter.
func (t *compiledTemplate) body(parameters map[string]any) map[string]any {
	body := make(map[string]any, len(t.Body))
	for member, value := range t.Body {
		body[member] = value
		reference, ok := parameterReference(value)
		if !ok {
			continue
		}
		body[member] = t.Parameters[reference].Default
		if given, ok := parameters[reference]; ok {
			body[member] = given
		}
	}
	return body
}

// addBodyProblems records the problems of a body after binding. The path of
// each is where the value was written: in the parameters of the instance or in
// the template.
func (c *compiler) addBodyProblems(path, name string, t *compiledTemplate, found []Problem) {
	for _, p := range found {
		member := firstToken(p.Path)
		if reference, ok := parameterReference(t.Body[member]); ok {
			p.Path = path + "/parameters/" + escape(reference)
		} else {
			p.Path = "/templates/" + escape(name) + "/body" + p.Path
		}
		c.part.problems = append(c.part.problems, p)
	}
}

// firstToken returns the first token of a JSON pointer without its slash,
// still escaped.
func firstToken(path string) string {
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			return path[1:i]
		}
	}
	if path == "" {
		return ""
	}
	return path[1:]
}
