package problem

import (
	"encoding"
	"errors"
	"fmt"
	"math"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// walker compares a YAML tree with the Go type that it is decoded into.
type walker struct {
	file     File
	problems List
}

// walk checks one value and what it holds.
func (w *walker) walk(path string, n ast.Node, t reflect.Type) {
	w.note(path, n)
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if decodesItself(t) {
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		w.walkStruct(path, n, t)
	case reflect.Map:
		w.walkMap(path, n, t)
	case reflect.Slice, reflect.Array:
		w.walkSlice(path, n, t)
	default:
		w.walkScalar(path, n, t)
	}
}

// note remembers the place of a path.
func (w *walker) note(path string, n ast.Node) {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return
	}
	if _, ok := w.file.places[path]; !ok {
		p := n.GetToken().Position
		w.file.places[path] = Place{p.Line, p.Column}
	}
}

func (w *walker) report(path, format string, args ...any) {
	w.problems = append(w.problems, w.file.At(path, format, args...))
}

// entries returns the entries of a mapping, or reports that there is none.
func (w *walker) entries(path string, n ast.Node) []*ast.MappingValueNode {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}
	}
	w.report(path, "wants keys and values, has %s", kindOf(n))
	return nil
}

func (w *walker) walkStruct(path string, n ast.Node, t reflect.Type) {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = t.Field(i).Type
		}
	}
	seen := map[string]bool{}
	for _, e := range w.entries(path, n) {
		key := e.Key.GetToken().Value
		at := join(path, key)
		field, known := fields[key]
		switch {
		case !known:
			w.reportKey(e, at, "unknown key")
		case seen[key]:
			w.reportKey(e, at, "the key stands twice")
		default:
			w.note(at, e.Key)
			w.walk(at, e.Value, field)
		}
		seen[key] = true
	}
}

func (w *walker) walkMap(path string, n ast.Node, t reflect.Type) {
	seen := map[string]bool{}
	for _, e := range w.entries(path, n) {
		key := e.Key.GetToken().Value
		at := join(path, key)
		if seen[key] {
			w.reportKey(e, at, "the key stands twice")
			continue
		}
		seen[key] = true
		w.note(at, e.Key)
		w.walk(at, e.Value, t.Elem())
	}
}

// reportKey reports a problem at the key itself.
func (w *walker) reportKey(e *ast.MappingValueNode, path, message string) {
	p := e.Key.GetToken().Position
	w.problems = append(w.problems, Problem{Place: Place{p.Line, p.Column}, Path: path, Message: message})
}

func (w *walker) walkSlice(path string, n ast.Node, t reflect.Type) {
	if _, ok := n.(*ast.NullNode); ok {
		return
	}
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		w.report(path, "wants a list, has %s", kindOf(n))
		return
	}
	for i, v := range s.Values {
		w.walk(fmt.Sprintf("%s[%d]", path, i), v, t.Elem())
	}
}

func (w *walker) walkScalar(path string, n ast.Node, t reflect.Type) {
	switch t.Kind() {
	case reflect.String:
		switch n.(type) {
		case *ast.StringNode, *ast.LiteralNode:
		default:
			w.report(path, "wants text, has %s", kindOf(n))
		}
	case reflect.Bool:
		if _, ok := n.(*ast.BoolNode); !ok {
			w.report(path, "wants true or false, has %s", kindOf(n))
		}
	case reflect.Float32, reflect.Float64:
		switch n.(type) {
		case *ast.FloatNode, *ast.IntegerNode:
		default:
			w.report(path, "wants a number, has %s", kindOf(n))
		}
	default:
		w.walkInteger(path, n, t)
	}
}

func (w *walker) walkInteger(path string, n ast.Node, t reflect.Type) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		w.report(path, "wants a whole number, has %s", kindOf(n))
		return
	}
	zero := reflect.Zero(t)
	fits := false
	switch v := i.Value.(type) {
	case int64:
		fits = zero.CanInt() && !zero.OverflowInt(v) || zero.CanUint() && v >= 0 && !zero.OverflowUint(uint64(v))
	case uint64:
		fits = zero.CanInt() && v <= math.MaxInt64 && !zero.OverflowInt(int64(v)) || zero.CanUint() && !zero.OverflowUint(v)
	}
	if !fits {
		w.report(path, "the number is out of range")
	}
}

// decodesItself tells whether a type has a decoder of its own.
func decodesItself(t reflect.Type) bool {
	p := reflect.PointerTo(t)
	for _, i := range []reflect.Type{
		reflect.TypeFor[yaml.BytesUnmarshaler](), reflect.TypeFor[yaml.InterfaceUnmarshaler](), reflect.TypeFor[encoding.TextUnmarshaler](),
	} {
		if p.Implements(i) {
			return true
		}
	}
	return false
}

// kindOf names what a node holds.
func kindOf(n ast.Node) string {
	switch n.(type) {
	case nil, *ast.NullNode:
		return "nothing"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "keys and values"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode, *ast.LiteralNode:
		return "text"
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "a number"
	case *ast.BoolNode:
		return "true or false"
	}
	return "an anchor, alias or tag"
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

func asYAMLError(err error, into *yaml.Error) bool { return errors.As(err, into) }
