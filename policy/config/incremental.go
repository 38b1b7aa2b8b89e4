package config

import (
	"slices"

	"zinniafall/policy/model"
	"zinniafall/policy/settings"
)

// compiledParts is a configuration that is compiled part by part, so that a
// change only costs the compilation of the parts that it touches. A change of
// any template recompiles everything.
type compiledParts struct {
	// templateSums are the sums of the parts that contain the templates.
	templateSums []Sum
	templates    *templateSet
	parts        map[Sum]*compiledPart
}

// recompile compiles the parts of a head and reuses those that have not
// changed.
func (c compiledParts) recompile(head *Head, contents map[Sum][]byte) (compiledParts, error) {
	result := compiledParts{parts: make(map[Sum]*compiledPart, len(head.Parts))}
	for _, part := range head.Parts {
		if part.Section == SectionTemplates {
			result.templateSums = append(result.templateSums, part.Sum)
		}
	}
	held := c.parts
	result.templates = c.templates
	if c.templates == nil || !slices.Equal(c.templateSums, result.templateSums) {
		set, err := compileTemplates(head, contents)
		if err != nil {
			return c, err
		}
		result.templates, held = set, nil
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
			return c, head.incompleteError(part, err.Error())
		}
		result.parts[part.Sum] = result.templates.compile(doc)
	}
	return result, nil
}

// compileTemplates compiles the templates of a head.
func compileTemplates(head *Head, contents map[Sum][]byte) (*templateSet, error) {
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

// mergeParts merges the parts in the order of their sums, so that the result
// is deterministic.
func (c compiledParts) mergeParts(revision model.Revision) (*settings.Snapshot, []Problem) {
	sums := make([]Sum, 0, len(c.parts))
	for sum := range c.parts {
		sums = append(sums, sum)
	}
	slices.SortFunc(sums, func(a, b Sum) int { return slices.Compare(a[:], b[:]) })
	parts := make([]*compiledPart, 0, len(sums))
	for _, sum := range sums {
		parts = append(parts, c.parts[sum])
	}
	return mergeParts(revision, c.templates, parts)
}
