// Package problem decodes YAML strictly and reports every problem of a file
// at once, each with its line and column. The package does no I/O.
package problem

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Place is where something stands in a file; the first line and column are 1.
type Place struct {
	Line, Column int
}

// Problem is one thing that is wrong with a file.
type Problem struct {
	// Place is zero when the problem has none in the file.
	Place Place
	// Path names the value, such as Pools[0].Name.
	Path string
	// Message tells what is wrong, in one line.
	Message string
}

// String returns the problem as one line: line:column: path: message.
func (p Problem) String() string {
	text := p.Message
	if p.Path != "" {
		text = p.Path + ": " + text
	}
	if p.Place == (Place{}) {
		return text
	}
	return fmt.Sprintf("%d:%d: %s", p.Place.Line, p.Place.Column, text)
}

// List holds every problem of a file. It is an error when it is not empty.
type List []Problem

// Error returns one line for each problem.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, p := range l {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Sort orders the problems by their place.
func (l List) Sort() {
	slices.SortStableFunc(l, func(a, b Problem) int {
		if a.Place.Line != b.Place.Line {
			return a.Place.Line - b.Place.Line
		}
		return a.Place.Column - b.Place.Column
	})
}

// File knows where each value of a decoded file stands.
type File struct {
	// Unread tells that the file is no YAML document, so that nothing was
	// decoded.
	Unread bool

	places map[string]Place
}

// With returns the list with further problems, sorted by place. One at a
// value that already has a problem, or around or inside it, is left out: it
// may only follow from that.
func (l List) With(more List) List {
	all := slices.Clone(l)
	for _, p := range more {
		if !slices.ContainsFunc(l, func(known Problem) bool { return within(p.Path, known.Path) || within(known.Path, p.Path) }) {
			all = append(all, p)
		}
	}
	all.Sort()
	return all
}

// within tells whether a path is another one or leads into it.
func within(path, outer string) bool {
	rest, ok := strings.CutPrefix(path, outer)
	return ok && outer != "" && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

// At returns a problem at the value that the path names. A value that the
// file leaves out is placed at the nearest value around it.
func (f File) At(path, format string, args ...any) Problem {
	return Problem{Place: f.place(path), Path: path, Message: fmt.Sprintf(format, args...)}
}

// place returns the place of a path or of what encloses it.
func (f File) place(path string) Place {
	for {
		if p, ok := f.places[path]; ok || path == "" {
			return p
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// Decode decodes one YAML document into a pointer to a struct, over the
// values that it holds. Unknown keys, repeated keys and values of a wrong
// type are problems; what has none is decoded all the same, so that its values
// can be checked too.
func Decode(raw []byte, into any) (f File, problems List) {
	f = File{places: map[string]Place{}}
	// A panic in the YAML library must not stop every host that reads an edit.
	defer func() {
		if r := recover(); r != nil {
			f.Unread, problems = true, List{{Message: "the text can't be read as YAML"}}
		}
	}()
	body, problems := parse(raw)
	if len(problems) > 0 || body == nil {
		f.Unread = len(problems) > 0
		return f, problems
	}
	w := walker{file: f}
	w.walk("", body, reflect.ValueOf(into).Elem())
	w.problems.Sort()
	return f, w.problems
}

// parse returns the root of the only document of a file, or nil for an empty
// file.
func parse(raw []byte) (ast.Node, List) {
	if len(bytes.TrimSpace(raw)) == 0 {
		return nil, nil
	}
	file, err := parser.ParseBytes(raw, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, List{syntaxProblem(err)}
	}
	switch {
	case len(file.Docs) == 0:
		return nil, nil
	case len(file.Docs) > 1:
		return nil, List{{Message: "the file holds more than one document"}}
	}
	body := file.Docs[0].Body
	if _, ok := body.(*ast.CommentGroupNode); ok {
		return nil, nil
	}
	return body, nil
}

// syntaxProblem places an error of the parser.
func syntaxProblem(err error) Problem {
	p := Problem{Message: firstLine(err)}
	var placed yaml.Error
	if errors.As(err, &placed) {
		p.Message = placed.GetMessage()
		if t := placed.GetToken(); t != nil && t.Position != nil {
			p.Place = Place{t.Position.Line, t.Position.Column}
		}
	}
	return p
}

// firstLine returns the first line of an error.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}
