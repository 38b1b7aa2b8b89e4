package config

import (
	"slices"

	"zinniafall/policy/model"
	"zinniafall/policy/settings"
)

// compiledParts is a configuration compiled part by part, so that a change
// costs the work of the parts that it touches. A change of any template costs
// the whole.
type compiledParts struct {
	// templateSums are the parts that the templates came from.
	templateSums []Sum
	set          *templateSet
	parts        map[Sum]*compiledPart
}

// next compiles the parts of a head, taking over those that are the same.
func (c compiledParts) next(head *Head, contents map[Sum][]byte) (compiledParts, error) {
	result := compiledParts{parts: make(map[Sum]*compiledPart, len(head.Parts))}
	for _, part := range head.Parts {
		if part.Section == SectionTemplates {
			result.templateSums = append(result.templateSums, part.Sum)
		}
	}
	held := c.parts
	result.set = c.set
	if c.set == nil || !slices.Equal(c.templateSums, result.templateSums) {
		set, err := templatesOf(head, contents)
		if err != nil {
			return c, err
		}
		result.set, held = set, nil
	}
	for _, part := range head.Parts {
		if part.Section == SectionTemplates {
			continue
		}
		if compiled, ok := held[part.Sum]; ok {
			result.parts[part.Sum] = compiled
			continue
		}
		doc, err := part.decode(contents[part.Sum])
		if err != nil {
			return c, head.incomplete(part, err.Error())
		}
		result.parts[part.Sum] = result.set.compile(doc)
	}
	return result, nil
}

// templatesOf reads the template parts of a head.
func templatesOf(head *Head, contents map[Sum][]byte) (*templateSet, error) {
	templates := &Head{Revision: head.Revision}
	for _, part := range head.Parts {
		if part.Section == SectionTemplates {
			templates.Parts = append(templates.Parts, part)
		}
	}
	doc, err := Assemble(templates, contents)
	if err != nil {
		return nil, err
	}
	return newTemplateSet(doc.Templates), nil
}

// join puts the parts together in an order that does not depend on maps.
func (c compiledParts) join(revision model.Revision) (*settings.Snapshot, []Problem) {
	sums := make([]Sum, 0, len(c.parts))
	for sum := range c.parts {
		sums = append(sums, sum)
	}
	slices.SortFunc(sums, func(a, b Sum) int { return slices.Compare(a[:], b[:]) })
	parts := make([]*compiledPart, 0, len(sums))
	for _, sum := range sums {
		parts = append(parts, c.parts[sum])
	}
	return join(revision, c.set, parts)
}
