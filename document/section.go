package document

import (
	"bytes"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"
)

// Section names a part of the document that one team edits.
type Section string

// The sections.
const (
	CapacitySection Section = "Capacity"
	ModelsSection   Section = "Models"
	AccountsSection Section = "Accounts"
	RoutingSection  Section = "Routing"
)

// Sections lists every section in the order in which a new system is set up:
// references point to earlier sections.
func Sections() []Section {
	return []Section{CapacitySection, ModelsSection, AccountsSection, RoutingSection}
}

// WithSection returns the document with one section replaced by decoded
// YAML. A key that is unknown or a value of a wrong type is an error.
func (d Document) WithSection(s Section, body []byte) (Document, error) {
	switch s {
	case CapacitySection:
		d.Capacity = Capacity{}
		return d, decode(body, &d.Capacity)
	case ModelsSection:
		d.Models = Models{}
		return d, decode(body, &d.Models)
	case AccountsSection:
		d.Accounts = Accounts{}
		return d, decode(body, &d.Accounts)
	case RoutingSection:
		d.Routing = Routing{}
		return d, decode(body, &d.Routing)
	}
	return d, trace.NotFound("there is no section %q", s)
}

// Encode returns the YAML of one section.
func (d Document) Encode(s Section) ([]byte, error) {
	values := map[Section]any{
		CapacitySection: d.Capacity,
		ModelsSection:   d.Models,
		AccountsSection: d.Accounts,
		RoutingSection:  d.Routing,
	}
	value, ok := values[s]
	if !ok {
		return nil, trace.NotFound("there is no section %q", s)
	}
	return yaml.Marshal(value)
}

func decode(body []byte, into any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(body), yaml.Strict())
	if err := decoder.Decode(into); err != nil {
		return trace.BadParameter("%s", yaml.FormatError(err, false, true))
	}
	return nil
}
