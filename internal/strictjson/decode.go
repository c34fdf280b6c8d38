package strictjson

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Decode parses data and decodes it into the value that v points to. It returns
// the document, which is nil if the syntax is wrong, and the faults.
func Decode(data []byte, v any) (*Document, []Fault) {
	d, fault := Parse(data)
	if fault != nil {
		return nil, []Fault{*fault}
	}
	return d, d.DecodeInto(v, nil)
}

// DecodeInto decodes the document into the value that v points to and returns the
// faults. setDefaults, which may be nil, is called with each new value before it is
// decoded: elements of arrays and maps, and values behind pointers.
func (d *Document) DecodeInto(v any, setDefaults func(reflect.Value)) []Fault {
	dec := &decoder{doc: d, setDefaults: setDefaults}
	dec.decodeValue(&d.root, reflect.ValueOf(v).Elem())
	return dec.faults
}

// segment is one step of the path of a field. A path is formatted only for a
// fault, because a table has tens of thousands of fields.
type segment struct {
	name  string
	index int
	kind  segmentKind
}

type segmentKind uint8

const (
	// memberSegment is a field of a struct, written .name.
	memberSegment segmentKind = iota
	// indexSegment is an element of an array, written [index].
	indexSegment
	// keySegment is an element of a map, written ["name"].
	keySegment
)

// decoder decodes a document and collects its faults.
type decoder struct {
	doc         *Document
	setDefaults func(reflect.Value)
	// path is the path of the field that is being decoded.
	path   []segment
	faults []Fault
}

func (d *decoder) push(s segment) { d.path = append(d.path, s) }

func (d *decoder) pop() { d.path = d.path[:len(d.path)-1] }

// fieldPath formats the path of the current field.
func (d *decoder) fieldPath() string {
	field := ""
	for _, s := range d.path {
		switch s.kind {
		case memberSegment:
			field = JoinPath(field, s.name)
		case indexSegment:
			field += "[" + strconv.Itoa(s.index) + "]"
		case keySegment:
			field += "[" + strconv.Quote(s.name) + "]"
		}
	}
	return field
}

// fail adds a fault of the current field on the line of the value at.
func (d *decoder) fail(at *hujson.Value, format string, args ...any) {
	if len(d.faults) < MaxFaults {
		line := d.doc.lineAt(at.StartOffset)
		d.faults = append(d.faults, Fault{Line: line, Field: d.fieldPath(), Reason: fmt.Sprintf(format, args...)})
	}
}

func (d *decoder) decodeValue(from *hujson.Value, to reflect.Value) {
	if text, ok := to.Addr().Interface().(encoding.TextUnmarshaler); ok && to.Kind() != reflect.Pointer {
		d.decodeText(from, text)
		return
	}
	switch to.Kind() {
	case reflect.Pointer:
		pointee := d.newWithDefaults(to.Type().Elem())
		d.decodeValue(from, pointee)
		to.Set(pointee.Addr())
	case reflect.Struct:
		d.decodeStruct(from, to)
	case reflect.Slice:
		d.decodeSlice(from, to)
	case reflect.Map:
		d.decodeMap(from, to)
	default:
		d.decodeScalar(from, to)
	}
}

// newWithDefaults returns a new addressable value with its defaults set.
func (d *decoder) newWithDefaults(t reflect.Type) reflect.Value {
	v := reflect.New(t).Elem()
	d.applyDefaults(v)
	return v
}

func (d *decoder) applyDefaults(v reflect.Value) {
	if d.setDefaults != nil {
		d.setDefaults(v)
	}
}

func (d *decoder) decodeText(from *hujson.Value, to encoding.TextUnmarshaler) {
	lit, ok := from.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		d.fail(from, "want a string, got %s", describeValue(from))
		return
	}
	if err := to.UnmarshalText([]byte(lit.String())); err != nil {
		d.fail(from, "%v", err)
	}
}

func (d *decoder) decodeStruct(from *hujson.Value, to reflect.Value) {
	object, ok := from.Value.(*hujson.Object)
	if !ok {
		d.fail(from, "want an object, got %s", describeValue(from))
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
			d.fail(&m.Name, "unknown field%s", fields.suggestion(name))
			d.pop()
			continue
		}
		d.push(segment{name: f.Name})
		if seen[f.Index] {
			d.fail(&m.Name, "occurs twice in the same object")
		} else {
			d.decodeValue(&m.Value, to.Field(f.Index))
		}
		seen[f.Index] = true
		d.pop()
	}
}

func (d *decoder) decodeSlice(from *hujson.Value, to reflect.Value) {
	array, ok := from.Value.(*hujson.Array)
	if !ok {
		d.fail(from, "want an array, got %s", describeValue(from))
		return
	}
	to.SetZero()
	if len(array.Elements) == 0 {
		return
	}
	out := reflect.MakeSlice(to.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		d.push(segment{index: i, kind: indexSegment})
		d.applyDefaults(out.Index(i))
		d.decodeValue(&array.Elements[i], out.Index(i))
		d.pop()
	}
	to.Set(out)
}

func (d *decoder) decodeMap(from *hujson.Value, to reflect.Value) {
	object, ok := from.Value.(*hujson.Object)
	if !ok {
		d.fail(from, "want an object, got %s", describeValue(from))
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
			element := d.newWithDefaults(to.Type().Elem())
			d.decodeValue(&m.Value, element)
			to.SetMapIndex(key, element)
		}
		d.pop()
	}
}

func (d *decoder) decodeScalar(from *hujson.Value, to reflect.Value) {
	lit, ok := from.Value.(hujson.Literal)
	kind := byte(0)
	if ok {
		kind = byte(lit.Kind())
	}
	want := expectationFor(to.Kind())
	if want.kind != kind && (want.kind != 't' || kind != 'f') {
		d.fail(from, "want %s%s, got %s", want.text, unitPhrase(d.fieldPath()), describeValue(from))
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
		d.fail(from, "want %s%s, got %s", want.text, unitPhrase(d.fieldPath()), lit)
	}
}

// expectation is the JSON value that a Go kind is decoded from.
type expectation struct {
	// kind is the kind of a hujson literal; 't' stands for true and false.
	kind byte
	text string
}

func expectationFor(kind reflect.Kind) expectation {
	switch kind {
	case reflect.Bool:
		return expectation{'t', "true or false"}
	case reflect.String:
		return expectation{'"', "a string"}
	case reflect.Float32, reflect.Float64:
		return expectation{'0', "a number"}
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return expectation{'0', "a non-negative whole number"}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return expectation{'0', "a whole number"}
	}
	return expectation{0xff, "a value of a type that this program does not support (" + kind.String() + ")"}
}

// unitPhrase returns " of" and the unit in the suffix of a field name, or an empty
// string. It makes the error for "5s" in a field in milliseconds name the unit.
func unitPhrase(field string) string {
	for _, u := range units {
		if strings.HasSuffix(field, u.suffix) {
			return " of " + u.name
		}
	}
	return ""
}

// describeValue describes a JSON value in an error. It shortens long literals.
func describeValue(v *hujson.Value) string {
	const maxTextBytes = 40
	switch x := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		text := string(x)
		if len(text) > maxTextBytes {
			text = text[:maxTextBytes] + "..."
		}
		if x.Kind() == '"' {
			return "the string " + text
		}
		return text
	}
	return "nothing"
}
