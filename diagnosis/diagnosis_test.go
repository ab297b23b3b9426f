package diagnosis_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/diagnosis"
)

var update = flag.Bool("update", false, "write golden files instead of checking them")

// TestDiagnosis compares the causes found in sample logs with golden files.
func TestDiagnosis(t *testing.T) {
	logs, err := filepath.Glob("testdata/*.log")
	is.New(t).NoErr(err)
	is.New(t).True(len(logs) >= 3)
	for _, path := range logs {
		t.Run(filepath.Base(path), func(t *testing.T) {
			is := is.New(t)
			raw, err := os.ReadFile(path)
			is.NoErr(err)
			id := strings.TrimSuffix(filepath.Base(path), ".log")
			var lines []diagnosis.Line
			for text := range strings.Lines(string(raw)) {
				if l, ok := diagnosis.Read(strings.TrimSpace(text), id); ok {
					lines = append(lines, l)
				}
			}
			golden := strings.TrimSuffix(path, ".log") + ".golden"
			got := diagnosis.New(lines).Cause + "\n"
			if *update {
				is.NoErr(os.WriteFile(golden, []byte(got), 0o644))
			}
			want, err := os.ReadFile(golden)
			is.NoErr(err)
			is.Equal(got, string(want))
		})
	}
}
