package problem

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// walker decodes a YAML tree and collects its problems.
type walker struct {
	file     File
	problems List
}

// walk decodes one value and the values inside it.
func (w *walker) walk(path string, n ast.Node, v reflect.Value) {
	w.recordPosition(path, n)
	if v.Kind() == reflect.Pointer {
		v.Set(reflect.New(v.Type().Elem()))
		v = v.Elem()
	}
	if hasUnmarshaler(v.Type()) {
		if err := yaml.NodeToValue(n, v.Addr().Interface()); err != nil {
			w.report(path, "%s", firstLine(err))
		}
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		w.walkStruct(path, n, v)
	case reflect.Map:
		w.walkMap(path, n, v)
	case reflect.Slice:
		w.walkSlice(path, n, v)
	default:
		w.walkScalar(path, n, v)
	}
}

// recordPosition sets the position of a path, unless its key has set it before.
func (w *walker) recordPosition(path string, n ast.Node) {
	if _, exists := w.file.positions[path]; !exists {
		w.setPosition(path, n)
	}
}

// setPosition sets the position of a path to that of a node, if the node has
// one.
func (w *walker) setPosition(path string, n ast.Node) {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return
	}
	p := n.GetToken().Position
	w.file.positions[path] = Position{p.Line, p.Column}
}

func (w *walker) report(path, format string, args ...any) {
	w.problems = append(w.problems, w.file.At(path, format, args...))
}

// forEachEntry calls visit for each entry of a mapping and reports duplicate
// keys.
func (w *walker) forEachEntry(path string, n ast.Node, visit func(key, at string, e *ast.MappingValueNode)) {
	var values []*ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingNode:
		values = m.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{m}
	default:
		w.report(path, "expected keys and values, got %s", kindOf(n))
	}
	seen := map[string]bool{}
	for _, e := range values {
		key := e.Key.GetToken().Value
		at := join(path, key)
		if seen[key] {
			w.reportKey(e, at, "duplicate key")
			continue
		}
		seen[key] = true
		visit(key, at, e)
	}
}

// reportKey reports a problem at the key itself.
func (w *walker) reportKey(e *ast.MappingValueNode, path, message string) {
	p := e.Key.GetToken().Position
	w.problems = append(w.problems, Problem{Position: Position{p.Line, p.Column}, Path: path, Message: message})
}

func (w *walker) walkStruct(path string, n ast.Node, v reflect.Value) {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = v.Field(i)
		}
	}
	w.forEachEntry(path, n, func(key, at string, e *ast.MappingValueNode) {
		field, known := fields[key]
		if !known {
			w.reportKey(e, at, "unknown key")
			return
		}
		w.recordPosition(at, e.Key)
		w.walk(at, e.Value, field)
	})
}

func (w *walker) walkMap(path string, n ast.Node, v reflect.Value) {
	decoded := reflect.MakeMap(v.Type())
	w.forEachEntry(path, n, func(key, at string, e *ast.MappingValueNode) {
		w.recordPosition(at, e.Key)
		value := reflect.New(v.Type().Elem()).Elem()
		w.walk(at, e.Value, value)
		decoded.SetMapIndex(reflect.ValueOf(key).Convert(v.Type().Key()), value)
	})
	v.Set(decoded)
}

func (w *walker) walkSlice(path string, n ast.Node, v reflect.Value) {
	if _, isNull := n.(*ast.NullNode); isNull {
		v.SetZero()
		return
	}
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		w.report(path, "expected a list, got %s", kindOf(n))
		return
	}
	decoded := reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values))
	for i, value := range s.Values {
		w.walk(fmt.Sprintf("%s[%d]", path, i), value, decoded.Index(i))
	}
	v.Set(decoded)
}

func (w *walker) walkScalar(path string, n ast.Node, v reflect.Value) {
	if _, isNull := n.(*ast.NullNode); !isNull {
		// Point at the value instead of its key.
		w.setPosition(path, n)
	}
	switch v.Kind() {
	case reflect.String:
		w.walkString(path, n, v)
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if !ok {
			w.report(path, "expected true or false, got %s", kindOf(n))
			return
		}
		v.SetBool(b.Value)
	case reflect.Float32, reflect.Float64:
		w.walkFloat(path, n, v)
	default:
		w.walkInteger(path, n, v)
	}
}

func (w *walker) walkString(path string, n ast.Node, v reflect.Value) {
	switch s := n.(type) {
	case *ast.StringNode:
		v.SetString(s.Value)
	case *ast.LiteralNode:
		v.SetString(s.Value.Value)
	default:
		w.report(path, "expected text, got %s", kindOf(n))
	}
}

func (w *walker) walkFloat(path string, n ast.Node, v reflect.Value) {
	switch f := n.(type) {
	case *ast.FloatNode:
		if math.IsInf(f.Value, 0) || math.IsNaN(f.Value) {
			w.report(path, "the number is out of range")
			return
		}
		v.SetFloat(f.Value)
	case *ast.IntegerNode:
		switch i := f.Value.(type) {
		case int64:
			v.SetFloat(float64(i))
		case uint64:
			v.SetFloat(float64(i))
		}
	default:
		number, ok := parseExponential(n)
		if !ok {
			w.report(path, "expected a number, got %s", kindOf(n))
			return
		}
		v.SetFloat(number)
	}
}

// exponentPattern matches numbers such as 1e+06, which the YAML library writes but
// reads as strings.
var exponentPattern = regexp.MustCompile(`^[-+]?[0-9]+(\.[0-9]*)?[eE][-+]?[0-9]+$`)

// parseExponential parses an unquoted string as a number with an exponent.
func parseExponential(n ast.Node) (float64, bool) {
	s, ok := n.(*ast.StringNode)
	if !ok || s.Token.Type != token.StringType || !exponentPattern.MatchString(s.Value) {
		return 0, false
	}
	number, err := strconv.ParseFloat(s.Value, 64)
	return number, err == nil
}

func (w *walker) walkInteger(path string, n ast.Node, v reflect.Value) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		w.report(path, "expected a whole number, got %s", kindOf(n))
		return
	}
	set := false
	switch number := i.Value.(type) {
	case int64:
		set = setSigned(v, number)
	case uint64:
		set = setUnsigned(v, number)
	}
	if !set {
		w.report(path, "the number is out of range")
	}
}

// setSigned sets a value and reports whether the number fits.
func setSigned(v reflect.Value, number int64) bool {
	if number >= 0 && v.CanUint() {
		return setUnsigned(v, uint64(number))
	}
	if !v.CanInt() || v.OverflowInt(number) {
		return false
	}
	v.SetInt(number)
	return true
}

// setUnsigned sets a value and reports whether the number fits.
func setUnsigned(v reflect.Value, number uint64) bool {
	if number <= math.MaxInt64 && v.CanInt() {
		return setSigned(v, int64(number))
	}
	if !v.CanUint() || v.OverflowUint(number) {
		return false
	}
	v.SetUint(number)
	return true
}

// hasUnmarshaler reports whether a type implements its own decoding.
func hasUnmarshaler(t reflect.Type) bool {
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

// kindOf names the kind of value of a node for messages.
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
