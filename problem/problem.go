// Package problem decodes YAML strictly and reports all problems of a file
// together, each with its line and column. The package does no I/O.
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

// Position is a position in a file; lines and columns start at 1.
type Position struct {
	Line, Column int
}

// Problem is one error in a file.
type Problem struct {
	// Position is zero if the problem has no position in the file.
	Position Position
	// Path is the path of the value, such as Pools[0].Name.
	Path string
	// Message describes the problem in one line.
	Message string
}

// String formats the problem as line:column: path: message.
func (p Problem) String() string {
	text := p.Message
	if p.Path != "" {
		text = p.Path + ": " + text
	}
	if p.Position == (Position{}) {
		return text
	}
	return fmt.Sprintf("%d:%d: %s", p.Position.Line, p.Position.Column, text)
}

// List holds every problem of a file. A list that is not empty is an error.
type List []Problem

// Error returns one line per problem.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, p := range l {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Sort orders the problems by position.
func (l List) Sort() {
	slices.SortStableFunc(l, func(a, b Problem) int {
		if a.Position.Line != b.Position.Line {
			return a.Position.Line - b.Position.Line
		}
		return a.Position.Column - b.Position.Column
	})
}

// File holds the position of each value of a decoded file.
type File struct {
	// NotDecoded is set if the file is not a YAML document, so that nothing was
	// decoded.
	NotDecoded bool

	positions map[string]Position
}

// With returns the list with further problems, sorted by position. It leaves out
// a problem at a value that already has one, or inside or around such a value,
// since it may be a consequence of the earlier one.
func (l List) With(more List) List {
	all := slices.Clone(l)
	for _, p := range more {
		if !slices.ContainsFunc(l, func(existing Problem) bool { return isWithin(p.Path, existing.Path) || isWithin(existing.Path, p.Path) }) {
			all = append(all, p)
		}
	}
	all.Sort()
	return all
}

// isWithin reports whether a path equals the outer path or lies inside it.
func isWithin(path, outer string) bool {
	suffix, ok := strings.CutPrefix(path, outer)
	return ok && outer != "" && (suffix == "" || suffix[0] == '.' || suffix[0] == '[')
}

// At returns a problem at the value with the path. If the file does not contain
// the value, the position is that of the closest enclosing value.
func (f File) At(path, format string, args ...any) Problem {
	return Problem{Position: f.position(path), Path: path, Message: fmt.Sprintf(format, args...)}
}

// position returns the position of a path or of its closest enclosing value.
func (f File) position(path string) Position {
	for {
		if p, ok := f.positions[path]; ok || path == "" {
			return p
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// Decode decodes one YAML document into a pointer to a struct, which may hold
// default values. Unknown keys, duplicate keys and values of a wrong type are
// problems; all other values are decoded, so that they can be checked too.
func Decode(raw []byte, into any) (f File, problems List) {
	f = File{positions: map[string]Position{}}
	// A panic in the YAML library must not crash every host that reads an edit.
	defer func() {
		if r := recover(); r != nil {
			f.NotDecoded, problems = true, List{{Message: "the text can't be read as YAML"}}
		}
	}()
	body, problems := parse(raw)
	if len(problems) > 0 || body == nil {
		f.NotDecoded = len(problems) > 0
		return f, problems
	}
	w := walker{file: f}
	w.walk("", body, reflect.ValueOf(into).Elem())
	w.problems.Sort()
	return f, w.problems
}

// parse returns the root node of a file's only document, or nil for an empty
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
		return nil, List{{Message: "the file contains more than one document"}}
	}
	body := file.Docs[0].Body
	if _, ok := body.(*ast.CommentGroupNode); ok {
		return nil, nil
	}
	return body, nil
}

// syntaxProblem converts an error of the parser to a problem.
func syntaxProblem(err error) Problem {
	p := Problem{Message: firstLine(err)}
	var syntaxErr yaml.Error
	if errors.As(err, &syntaxErr) {
		p.Message = syntaxErr.GetMessage()
		if t := syntaxErr.GetToken(); t != nil && t.Position != nil {
			p.Position = Position{t.Position.Line, t.Position.Column}
		}
	}
	return p
}

// firstLine returns the first line of an error.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}
