package document

import (
	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/problem"
)

// Section names a part of the document that one team edits.
type Section string

// The sections.
const (
	CapacitySection Section = "Capacity"
	ModelsSection   Section = "Models"
	AccountsSection Section = "Accounts"
	RoutingSection  Section = "Routing"
	AuditSection    Section = "Audit"
)

// Sections lists every section in the order in which a new system is set up:
// references point to earlier sections.
func Sections() []Section {
	return []Section{CapacitySection, ModelsSection, AccountsSection, RoutingSection, AuditSection}
}

// WithSection returns the document with one section replaced by decoded YAML.
// The error lists every problem that can be seen without the other sections
// (package problem).
func (d Document) WithSection(s Section, body []byte) (Document, error) {
	next, file, err := d.decode(s, body)
	if err != nil {
		return d, err
	}
	return next, next.problems(s, file, false)
}

// Replace returns the document with one section replaced by decoded YAML. The
// error lists every problem, references between sections included.
func (d Document) Replace(s Section, body []byte) (Document, error) {
	next, file, err := d.decode(s, body)
	if err != nil {
		return d, err
	}
	return next, next.problems(s, file, true)
}

// decode decodes one section without a look at its values.
func (d Document) decode(s Section, body []byte) (Document, problem.File, error) {
	if len(body) > maxBodyBytes {
		return d, problem.File{}, trace.BadParameter("the body has %d bytes, more than %d", len(body), maxBodyBytes)
	}
	var file problem.File
	var list problem.List
	switch s {
	case CapacitySection:
		d.Capacity = Capacity{}
		file, list = problem.Decode(body, &d.Capacity)
	case ModelsSection:
		d.Models = Models{}
		file, list = problem.Decode(body, &d.Models)
	case AccountsSection:
		d.Accounts = Accounts{}
		file, list = problem.Decode(body, &d.Accounts)
	case RoutingSection:
		d.Routing = Routing{}
		file, list = problem.Decode(body, &d.Routing)
	case AuditSection:
		d.Audit = Audit{}
		file, list = problem.Decode(body, &d.Audit)
	default:
		return d, file, trace.NotFound("there is no section %q", s)
	}
	if len(list) > 0 {
		return d, file, list
	}
	return d, file, nil
}

// Encode returns the YAML of one section.
func (d Document) Encode(s Section) ([]byte, error) {
	values := map[Section]any{
		CapacitySection: d.Capacity,
		ModelsSection:   d.Models,
		AccountsSection: d.Accounts,
		RoutingSection:  d.Routing,
		AuditSection:    d.Audit,
	}
	value, ok := values[s]
	if !ok {
		return nil, trace.NotFound("there is no section %q", s)
	}
	return yaml.Marshal(value)
}
