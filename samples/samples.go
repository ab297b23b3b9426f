// Package samples holds a sample deployment for each of the two current users:
// the settings of each entry host and the sections of the configuration.
package samples

import (
	"embed"
	"path"
	"slices"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/settings"
)

//go:embed halvorsen hviezdna-kupola
var files embed.FS

// KeyPrefix followed by an account's name is that account's key in the samples.
const KeyPrefix = "sample-"

// Sample is one deployment.
type Sample struct {
	Name string
	// Settings holds the settings of each entry host, ordered by name.
	Settings []settings.Settings
	// Document holds the sections of the configuration.
	Document document.Document
}

// Names lists the samples.
func Names() []string { return []string{"halvorsen", "hviezdna-kupola"} }

// New reads a sample. It returns trace.NotFound for an unknown name and
// trace.BadParameter for invalid files.
func New(name string) (Sample, error) {
	if !slices.Contains(Names(), name) {
		return Sample{}, trace.NotFound("there is no sample %q", name)
	}
	s := Sample{Name: name}
	entries, err := files.ReadDir(path.Join(name, "settings"))
	if err != nil {
		return Sample{}, trace.ConvertSystemError(err)
	}
	for _, entry := range entries {
		raw, err := files.ReadFile(path.Join(name, "settings", entry.Name()))
		if err != nil {
			return Sample{}, trace.ConvertSystemError(err)
		}
		conf, err := settings.Decode(raw)
		if err != nil {
			return Sample{}, trace.Wrap(err, "%s/settings/%s", name, entry.Name())
		}
		s.Settings = append(s.Settings, conf)
	}
	s.Document, err = readSections(name)
	return s, err
}

// readSections reads the sections that a sample has files for.
func readSections(name string) (document.Document, error) {
	var d document.Document
	for _, section := range document.Sections() {
		raw, err := files.ReadFile(path.Join(name, string(section)+".yaml"))
		if err != nil {
			continue
		}
		if d, err = d.Replace(section, raw); err != nil {
			return d, trace.Wrap(err, "%s/%s.yaml", name, section)
		}
	}
	return d, nil
}
