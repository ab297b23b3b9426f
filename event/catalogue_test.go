package event_test

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/event"
)

var update = flag.Bool("update", false, "write docs/EVENTS.md instead of checking it")

const (
	cataloguePath = "../docs/EVENTS.md"
	klogImport    = `"k8s.io/klog/v2"`
)

// TestCataloguePage checks that docs/EVENTS.md matches the catalogue.
func TestCataloguePage(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	b.WriteString("# Events\n\nEvery log line of the daemon carries the number of one of these events.\nWritten by `go test ./event -update`.\n\n| number | event | meaning |\n|---|---|---|\n")
	seen := map[int]bool{}
	for _, e := range event.Catalogue() {
		is.True(!seen[e.Number]) // each number identifies one event
		seen[e.Number] = true
		fmt.Fprintf(&b, "| %d | %s | %s |\n", e.Number, e.Name, e.Meaning)
	}
	if *update {
		is.NoErr(os.WriteFile(cataloguePath, []byte(b.String()), 0o644))
	}
	raw, err := os.ReadFile(cataloguePath)
	is.NoErr(err)
	is.Equal(string(raw), b.String()) // run go test ./event -update
}

// parseSources parses every Go file that is not a test.
func parseSources(t *testing.T) map[string]*ast.File {
	t.Helper()
	files := map[string]*ast.File{}
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files[filepath.ToSlash(path)], err = parser.ParseFile(token.NewFileSet(), path, nil, 0)
		return err
	})
	is.New(t).NoErr(err)
	return files
}

// TestLogLines checks in the sources that log lines go through this package,
// that every event is in the catalogue, and that every event of a request is
// logged with the ID of the request or of its attempt.
func TestLogLines(t *testing.T) {
	is := is.New(t)
	// These events are about batches, not about one request.
	batches := map[string]bool{"CrashShareFailed": true, "ClaimAppendFailed": true}
	declared, ofRequests := 0, map[string]bool{}
	files := parseSources(t)
	for path, file := range files {
		if strings.HasPrefix(path, "../event/") {
			for _, name := range declaredEvents(file) {
				declared++
				ofRequests[name] = path == "../event/request.go" && !batches[name]
			}
			continue
		}
		for _, imported := range file.Imports {
			// The command line flushes the log before it exits.
			is.True(imported.Path.Value != klogImport || path == "../cmd/root.go")
			is.True(imported.Path.Value != `"log"`)
		}
	}
	is.Equal(declared, len(event.Catalogue()))
	for path, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if ok && ofRequests[loggedEvent(call)] && !hasArgument(call, `"Request"`, `"Attempt"`) {
				t.Errorf("%s logs %s without the ID of the request or of its attempt", path, loggedEvent(call))
			}
			return true
		})
	}
}

// declaredEvents returns the events that a file declares.
func declaredEvents(file *ast.File) []string {
	var found []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		if literal, ok := spec.Values[0].(*ast.CompositeLit); ok && isIdent(literal.Type, "Event") {
			found = append(found, spec.Names[0].Name)
		}
		return true
	})
	return found
}

// loggedEvent returns the X of a call event.X.Info or event.X.Error, or "".
func loggedEvent(call *ast.CallExpr) string {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || method.Sel.Name != "Info" && method.Sel.Name != "Error" {
		return ""
	}
	name, ok := method.X.(*ast.SelectorExpr)
	if !ok || !isIdent(name.X, "event") {
		return ""
	}
	return name.Sel.Name
}

// hasArgument reports whether one of the literals is an argument of the call.
func hasArgument(call *ast.CallExpr, literals ...string) bool {
	for _, a := range call.Args {
		if l, ok := a.(*ast.BasicLit); ok && slices.Contains(literals, l.Value) {
			return true
		}
	}
	return false
}

func isIdent(e ast.Expr, name string) bool {
	ident, ok := e.(*ast.Ident)
	return ok && ident.Name == name
}
