package strictjson

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Decode parses data and fills the value that v points to. It returns the
// document, nil if the syntax is wrong, and the faults.
func Decode(data []byte, v any) (*Document, []Fault) {
	d, fault := Parse(data)
	if fault != nil {
		return nil, []Fault{*fault}
	}
	return d, d.Into(v, nil)
}

// Into fills the value that v points to and returns all faults. init, which
// may be nil, sets the defaults of each new element of an array or a map.
func (d *Document) Into(v any, init func(reflect.Value)) []Fault {
	dec := &decoder{doc: d, init: init}
	dec.value(&d.root, reflect.ValueOf(v).Elem())
	return dec.faults
}

// segment is one step of a path. Paths become text only for faults, because
// a table has tens of thousands of fields.
type segment struct {
	name  string
	index int
	kind  segmentKind
}

type segmentKind uint8

const (
	memberSegment segmentKind = iota
	indexSegment
	keySegment
)

type decoder struct {
	doc    *Document
	init   func(reflect.Value)
	path   []segment
	faults []Fault
}

func (d *decoder) push(s segment) { d.path = append(d.path, s) }

func (d *decoder) pop() { d.path = d.path[:len(d.path)-1] }

func (d *decoder) field() string {
	field := ""
	for _, s := range d.path {
		switch s.kind {
		case memberSegment:
			field = Join(field, s.name)
		case indexSegment:
			field += "[" + strconv.Itoa(s.index) + "]"
		case keySegment:
			field += "[" + strconv.Quote(s.name) + "]"
		}
	}
	return field
}

func (d *decoder) fail(at *hujson.Value, format string, args ...any) {
	if len(d.faults) < MaxFaults {
		line := d.doc.lineAt(at.StartOffset)
		d.faults = append(d.faults, Fault{Line: line, Field: d.field(), Reason: fmt.Sprintf(format, args...)})
	}
}

func (d *decoder) value(from *hujson.Value, to reflect.Value) {
	if text, ok := to.Addr().Interface().(encoding.TextUnmarshaler); ok && to.Kind() != reflect.Pointer {
		d.text(from, text)
		return
	}
	switch to.Kind() {
	case reflect.Pointer:
		fresh := d.fresh(to.Type().Elem())
		d.value(from, fresh)
		to.Set(fresh.Addr())
	case reflect.Struct:
		d.object(from, to)
	case reflect.Slice:
		d.slice(from, to)
	case reflect.Map:
		d.dictionary(from, to)
	default:
		d.scalar(from, to)
	}
}

// fresh returns an addressable new value with its defaults.
func (d *decoder) fresh(t reflect.Type) reflect.Value {
	v := reflect.New(t).Elem()
	d.setDefaults(v)
	return v
}

func (d *decoder) setDefaults(v reflect.Value) {
	if d.init != nil {
		d.init(v)
	}
}

func (d *decoder) text(from *hujson.Value, to encoding.TextUnmarshaler) {
	lit, ok := from.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		d.fail(from, "want a string, got %s", kindOf(from))
		return
	}
	if err := to.UnmarshalText([]byte(lit.String())); err != nil {
		d.fail(from, "%v", err)
	}
}

func (d *decoder) object(from *hujson.Value, to reflect.Value) {
	object, ok := from.Value.(*hujson.Object)
	if !ok {
		d.fail(from, "want an object, got %s", kindOf(from))
		return
	}
	fields := FieldsOf(to.Type())
	var seen [maxFields]bool
	for i := range object.Members {
		m := &object.Members[i]
		f, ok := fields.lookup(m.Name.Value.(hujson.Literal))
		if !ok {
			name := m.Name.Value.(hujson.Literal).String()
			d.push(segment{name: name})
			d.fail(&m.Name, "unknown field%s", fields.hint(name))
			d.pop()
			continue
		}
		d.push(segment{name: f.Name})
		if seen[f.Index] {
			d.fail(&m.Name, "occurs twice in the same object")
		} else {
			d.value(&m.Value, to.Field(f.Index))
		}
		seen[f.Index] = true
		d.pop()
	}
}

func (d *decoder) slice(from *hujson.Value, to reflect.Value) {
	array, ok := from.Value.(*hujson.Array)
	if !ok {
		d.fail(from, "want an array, got %s", kindOf(from))
		return
	}
	to.SetZero()
	if len(array.Elements) == 0 {
		return
	}
	out := reflect.MakeSlice(to.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.push(segment{index: i, kind: indexSegment})
		d.setDefaults(out.Index(i))
		d.value(&array.Elements[i], out.Index(i))
		d.pop()
	}
	to.Set(out)
}

func (d *decoder) dictionary(from *hujson.Value, to reflect.Value) {
	object, ok := from.Value.(*hujson.Object)
	if !ok {
		d.fail(from, "want an object, got %s", kindOf(from))
		return
	}
	to.SetZero()
	if len(object.Members) == 0 {
		return
	}
	to.Set(reflect.MakeMap(to.Type()))
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		key := reflect.ValueOf(name).Convert(to.Type().Key())
		d.push(segment{name: name, kind: keySegment})
		if to.MapIndex(key).IsValid() {
			d.fail(&m.Name, "occurs twice in the same object")
		} else {
			element := d.fresh(to.Type().Elem())
			d.value(&m.Value, element)
			to.SetMapIndex(key, element)
		}
		d.pop()
	}
}

func (d *decoder) scalar(from *hujson.Value, to reflect.Value) {
	lit, ok := from.Value.(hujson.Literal)
	kind := byte(0)
	if ok {
		kind = byte(lit.Kind())
	}
	want := wantOf(to.Kind())
	if want.kind != kind && (want.kind != 't' || kind != 'f') {
		d.fail(from, "want %s%s, got %s", want.text, unitOf(d.field()), kindOf(from))
		return
	}
	var err error
	switch to.Kind() {
	case reflect.Bool:
		to.SetBool(lit.Bool())
	case reflect.String:
		to.SetString(lit.String())
	case reflect.Float32, reflect.Float64:
		var f float64
		f, err = strconv.ParseFloat(string(lit), to.Type().Bits())
		to.SetFloat(f)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		var n uint64
		n, err = strconv.ParseUint(string(lit), 10, to.Type().Bits())
		to.SetUint(n)
	default:
		var n int64
		n, err = strconv.ParseInt(string(lit), 10, to.Type().Bits())
		to.SetInt(n)
	}
	if err != nil {
		d.fail(from, "want %s%s, got %s", want.text, unitOf(d.field()), lit)
	}
}

type want struct {
	kind byte
	text string
}

func wantOf(kind reflect.Kind) want {
	switch kind {
	case reflect.Bool:
		return want{'t', "true or false"}
	case reflect.String:
		return want{'"', "a string"}
	case reflect.Float32, reflect.Float64:
		return want{'0', "a number"}
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return want{'0', "a whole number from 0"}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return want{'0', "a whole number"}
	}
	return want{0xff, "a value that this program cannot read (" + kind.String() + ")"}
}

// unitOf names the unit that the end of a field name states, so that "5s"
// for a field in milliseconds gets a helpful answer.
func unitOf(field string) string {
	for _, u := range units {
		if strings.HasSuffix(field, u.suffix) {
			return " of " + u.name
		}
	}
	return ""
}

func kindOf(v *hujson.Value) string {
	const longest = 40
	switch x := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		text := string(x)
		if len(text) > longest {
			text = text[:longest] + "..."
		}
		if x.Kind() == '"' {
			return "the string " + text
		}
		return text
	}
	return "nothing"
}
