package problem_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/settings"
)

var update = flag.Bool("update", false, "write the golden files")

// decode decodes a file as the settings or the section that the first letter of
// its name selects, and returns the error.
func decode(name string, raw []byte) error {
	if name[0] == 's' {
		_, err := settings.Decode(raw)
		return err
	}
	sections := map[byte]document.Section{
		'c': document.CapacitySection, 'm': document.ModelsSection, 'a': document.AccountsSection, 'r': document.RoutingSection,
	}
	d, err := document.Document{}.WithSection(document.CapacitySection, []byte("Pools: [{Name: engines, Kind: Engines, Upstreams: []}]"))
	if err != nil {
		return err
	}
	_, err = d.Replace(sections[name[0]], raw)
	return err
}

// TestMessages compares the messages of every file in testdata with its
// golden file.
func TestMessages(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	is.New(t).NoErr(err)
	is.New(t).True(len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			raw, err := os.ReadFile(file)
			is.NoErr(err)
			got := "ok\n"
			if err := decode(filepath.Base(file), raw); err != nil {
				got = err.Error() + "\n"
			}
			golden := file + ".golden"
			if *update {
				is.NoErr(os.WriteFile(golden, []byte(got), 0o600))
			}
			want, err := os.ReadFile(golden)
			is.NoErr(err)
			is.Equal(got, string(want))
		})
	}
}

// FuzzDecode checks that no input makes a decoder panic, and that a decoded
// section stays the same after encoding and decoding it again.
func FuzzDecode(f *testing.F) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		is := is.New(t)
		_, _ = settings.Decode(raw)
		for _, section := range document.Sections() {
			d, err := document.Document{}.WithSection(section, raw)
			if err != nil {
				continue
			}
			encoded, err := d.Encode(section)
			is.NoErr(err)
			again, err := document.Document{}.WithSection(section, encoded)
			is.NoErr(err)
			first, err := again.Encode(section)
			is.NoErr(err)
			is.Equal(string(first), string(encoded))
		}
	})
}
