package config

import (
	"fmt"
	"maps"
	"slices"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// compiledTemplate is a template with the schema of its parameters, which is
// nil when the template itself has a problem.
type compiledTemplate struct {
	Template
	schema *jsonschema.Schema
}

// templateSet is the templates of a document, ready to bind.
type templateSet struct {
	templates map[string]*compiledTemplate
	problems  []Problem
}

func newTemplateSet(templates map[string]Template) *templateSet {
	s := &templateSet{templates: make(map[string]*compiledTemplate, len(templates))}
	for _, name := range slices.Sorted(maps.Keys(templates)) {
		s.template(name, templates[name])
	}
	return s
}

func (s *templateSet) template(name string, t Template) {
	path := "/templates/" + escape(name)
	s.templates[name] = &compiledTemplate{Template: t}
	before := len(s.problems)
	schema, err := compileSchema("templates/"+name, parameterSchema(t))
	if err != nil {
		add(&s.problems, path+"/parameters", err.Error(), "Correct the types of the parameters")
		return
	}
	s.defaults(path, t)
	for _, member := range slices.Sorted(maps.Keys(t.Body)) {
		reference, ok := referenceOf(t.Body[member])
		if _, declared := t.Parameters[reference]; ok && !declared {
			add(&s.problems, path+"/body/"+escape(member), fmt.Sprintf("no parameter %q", reference), "Declare it under parameters or correct its name")
		}
	}
	if len(s.problems) == before {
		s.templates[name].schema = schema
	}
}

// defaults checks each parameter's default against its own type.
func (s *templateSet) defaults(path string, t Template) {
	for _, name := range slices.Sorted(maps.Keys(t.Parameters)) {
		p := t.Parameters[name]
		at := path + "/parameters/" + escape(name)
		if p.Minimum != nil && p.Maximum != nil && *p.Minimum > *p.Maximum {
			add(&s.problems, at+"/minimum", "the minimum is above the maximum", "Swap or correct them")
		}
		if p.Default == nil {
			continue
		}
		schema, err := compileSchema("default", p.schema())
		if err != nil {
			add(&s.problems, at, err.Error(), "Correct the type of the parameter")
			continue
		}
		s.problems = append(s.problems, validate(schema, p.Default, at+"/default")...)
	}
}

// referenceOf returns the parameter that a value of a body stands for.
func referenceOf(value any) (string, bool) {
	object, ok := value.(map[string]any)
	if !ok || len(object) != 1 {
		return "", false
	}
	name, ok := object["parameter"].(string)
	return name, ok
}

// body replaces the references in the template's body.
func (t *compiledTemplate) body(parameters map[string]any) map[string]any {
	body := make(map[string]any, len(t.Body))
	for member, value := range t.Body {
		body[member] = value
		reference, ok := referenceOf(value)
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

// bodyProblems reports a problem of a bound body where its value was written:
// in the instance's parameters or in the template.
func (c *compiler) bodyProblems(path, name string, t *compiledTemplate, found []Problem) {
	for _, p := range found {
		member := firstToken(p.Path)
		if reference, ok := referenceOf(t.Body[member]); ok {
			p.Path = path + "/parameters/" + escape(reference)
		} else {
			p.Path = "/templates/" + escape(name) + "/body" + p.Path
		}
		c.part.problems = append(c.part.problems, p)
	}
}

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
