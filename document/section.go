package document

import (
	"strconv"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/problem"
)

// Section is the name of a part of the document that one team edits.
type Section string

// Section names.
const (
	CapacitySection Section = "Capacity"
	ModelsSection   Section = "Models"
	AccountsSection Section = "Accounts"
	RoutingSection  Section = "Routing"
	AuditSection    Section = "Audit"
)

// Sections returns all sections in the order in which a new system is set up:
// references point to earlier sections only.
func Sections() []Section {
	return []Section{CapacitySection, ModelsSection, AccountsSection, RoutingSection, AuditSection}
}

// WithSection returns the document with one section replaced by decoded YAML.
// The error lists all problems (package problem) except those with references
// between sections.
func (d Document) WithSection(s Section, body []byte) (Document, error) {
	return d.replace(s, body, false)
}

// Replace returns the document with one section replaced by decoded YAML. The
// error lists all problems, including those with references between sections.
func (d Document) Replace(s Section, body []byte) (Document, error) {
	return d.replace(s, body, true)
}

func (d Document) replace(s Section, body []byte, references bool) (Document, error) {
	if len(body) > maxBodyBytes {
		return d, trace.BadParameter("the body has %d bytes, the limit is %d", len(body), maxBodyBytes)
	}
	next := d
	target, ok := next.resetSection(s)
	if !ok {
		return d, trace.NotFound("there is no section %q", s)
	}
	file, problems := problem.Decode(body, target)
	if !file.NotDecoded {
		problems = problems.With(next.problems(s, file, references))
	}
	if len(problems) > 0 {
		return d, problems
	}
	return next, nil
}

// resetSection clears a section and returns a pointer to it. It returns false
// for an unknown section.
func (d *Document) resetSection(s Section) (any, bool) {
	switch s {
	case CapacitySection:
		d.Capacity = Capacity{}
		return &d.Capacity, true
	case ModelsSection:
		d.Models = Models{}
		return &d.Models, true
	case AccountsSection:
		d.Accounts = Accounts{}
		return &d.Accounts, true
	case RoutingSection:
		d.Routing = Routing{}
		return &d.Routing, true
	case AuditSection:
		d.Audit = Audit{}
		return &d.Audit, true
	}
	return nil, false
}

// withSectionOf returns the document with one section copied from another
// document.
func (d Document) withSectionOf(other Document, s Section) Document {
	switch s {
	case CapacitySection:
		d.Capacity = other.Capacity
	case ModelsSection:
		d.Models = other.Models
	case AccountsSection:
		d.Accounts = other.Accounts
	case RoutingSection:
		d.Routing = other.Routing
	case AuditSection:
		d.Audit = other.Audit
	}
	return d
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
	return yaml.MarshalWithOptions(value, yaml.CustomMarshaler(plainNumber))
}

// plainNumber formats a number without an exponent, because the YAML library
// writes 2e+07 and reads that back as a string.
func plainNumber(f float64) ([]byte, error) {
	return strconv.AppendFloat(nil, f, 'f', -1, 64), nil
}
