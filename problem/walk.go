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

// walk decodes one value and what it holds.
func (w *walker) walk(path string, n ast.Node, v reflect.Value) {
	w.note(path, n)
	if v.Kind() == reflect.Pointer {
		v.Set(reflect.New(v.Type().Elem()))
		v = v.Elem()
	}
	if decodesItself(v.Type()) {
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

// note remembers the place of a path, unless that of its key is known.
func (w *walker) note(path string, n ast.Node) {
	if _, known := w.file.places[path]; !known {
		w.place(path, n)
	}
}

// place remembers the place of a path.
func (w *walker) place(path string, n ast.Node) {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return
	}
	p := n.GetToken().Position
	w.file.places[path] = Place{p.Line, p.Column}
}

func (w *walker) report(path, format string, args ...any) {
	w.problems = append(w.problems, w.file.At(path, format, args...))
}

// entries calls visit for each entry of a mapping whose key stands there for
// the first time.
func (w *walker) entries(path string, n ast.Node, visit func(key, at string, e *ast.MappingValueNode)) {
	var values []*ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingNode:
		values = m.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{m}
	default:
		w.report(path, "wants keys and values, has %s", kindOf(n))
	}
	seen := map[string]bool{}
	for _, e := range values {
		key := e.Key.GetToken().Value
		at := join(path, key)
		if seen[key] {
			w.reportKey(e, at, "the key stands twice")
			continue
		}
		seen[key] = true
		visit(key, at, e)
	}
}

// reportKey reports a problem at the key itself.
func (w *walker) reportKey(e *ast.MappingValueNode, path, message string) {
	p := e.Key.GetToken().Position
	w.problems = append(w.problems, Problem{Place: Place{p.Line, p.Column}, Path: path, Message: message})
}

func (w *walker) walkStruct(path string, n ast.Node, v reflect.Value) {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = v.Field(i)
		}
	}
	w.entries(path, n, func(key, at string, e *ast.MappingValueNode) {
		field, known := fields[key]
		if !known {
			w.reportKey(e, at, "unknown key")
			return
		}
		w.note(at, e.Key)
		w.walk(at, e.Value, field)
	})
}

func (w *walker) walkMap(path string, n ast.Node, v reflect.Value) {
	decoded := reflect.MakeMap(v.Type())
	w.entries(path, n, func(key, at string, e *ast.MappingValueNode) {
		w.note(at, e.Key)
		value := reflect.New(v.Type().Elem()).Elem()
		w.walk(at, e.Value, value)
		decoded.SetMapIndex(reflect.ValueOf(key).Convert(v.Type().Key()), value)
	})
	v.Set(decoded)
}

func (w *walker) walkSlice(path string, n ast.Node, v reflect.Value) {
	if _, nothing := n.(*ast.NullNode); nothing {
		v.SetZero()
		return
	}
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		w.report(path, "wants a list, has %s", kindOf(n))
		return
	}
	decoded := reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values))
	for i, value := range s.Values {
		w.walk(fmt.Sprintf("%s[%d]", path, i), value, decoded.Index(i))
	}
	v.Set(decoded)
}

func (w *walker) walkScalar(path string, n ast.Node, v reflect.Value) {
	if _, nothing := n.(*ast.NullNode); !nothing {
		// The value itself is a better place than its key.
		w.place(path, n)
	}
	switch v.Kind() {
	case reflect.String:
		w.walkText(path, n, v)
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if !ok {
			w.report(path, "wants true or false, has %s", kindOf(n))
			return
		}
		v.SetBool(b.Value)
	case reflect.Float32, reflect.Float64:
		w.walkFloat(path, n, v)
	default:
		w.walkInteger(path, n, v)
	}
}

func (w *walker) walkText(path string, n ast.Node, v reflect.Value) {
	switch s := n.(type) {
	case *ast.StringNode:
		v.SetString(s.Value)
	case *ast.LiteralNode:
		v.SetString(s.Value.Value)
	default:
		w.report(path, "wants text, has %s", kindOf(n))
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
		number, ok := exponential(n)
		if !ok {
			w.report(path, "wants a number, has %s", kindOf(n))
			return
		}
		v.SetFloat(number)
	}
}

// exponent matches numbers such as 1e+06, which the YAML library writes but
// reads as text.
var exponent = regexp.MustCompile(`^[-+]?[0-9]+(\.[0-9]*)?[eE][-+]?[0-9]+$`)

// exponential returns the number of a plain text with an exponent.
func exponential(n ast.Node) (float64, bool) {
	s, ok := n.(*ast.StringNode)
	if !ok || s.Token.Type != token.StringType || !exponent.MatchString(s.Value) {
		return 0, false
	}
	number, err := strconv.ParseFloat(s.Value, 64)
	return number, err == nil
}

func (w *walker) walkInteger(path string, n ast.Node, v reflect.Value) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		w.report(path, "wants a whole number, has %s", kindOf(n))
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

// setSigned sets a value if the number fits.
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

// setUnsigned sets a value if the number fits.
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
