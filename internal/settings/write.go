package settings

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/strictjson"
)

// WriteDefaults writes v, a pointer to a settings struct, as a commented settings
// file from which Load returns the same values. If v is zero, it writes the
// defaults. A field that is optional and empty, and has no default, is written as a
// comment. A required field without a default is written empty; Load reports it as
// missing if its range excludes the empty value.
func WriteDefaults(w io.Writer, v any) error {
	value := reflect.ValueOf(v).Elem()
	if err := checkType(value.Type(), nil); err != nil {
		return result.Wrap(result.Internal, err)
	}
	defaults := reflect.New(value.Type()).Elem()
	setDefaults(defaults)
	if value.IsZero() {
		value = defaults
	}
	out := &writer{w: bufio.NewWriter(w)}
	out.writeStruct(value, defaults, "")
	out.printf("\n")
	return result.Wrap(result.Internal, cmp.Or(out.err, out.w.Flush()))
}

// writer writes settings and keeps the first error of encoding a value.
type writer struct {
	w   *bufio.Writer
	err error
}

// printf ignores errors because Flush returns the first one.
func (o *writer) printf(format string, args ...any) { _, _ = fmt.Fprintf(o.w, format, args...) }

// writeValue writes v. defaults is used for structs only.
func (o *writer) writeValue(v, defaults reflect.Value, indent string) {
	if isTextType(v.Type()) {
		o.writeLiteral(v)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		o.writeValue(v.Elem(), newWithDefaults(v.Type().Elem()), indent)
	case reflect.Struct:
		o.writeStruct(v, defaults, indent)
	case reflect.Slice:
		o.writeSlice(v, indent)
	case reflect.Map:
		o.writeMap(v, indent)
	default:
		o.writeLiteral(v)
	}
}

func (o *writer) writeLiteral(v reflect.Value) {
	data, err := json.Marshal(v.Interface())
	o.err = cmp.Or(o.err, err)
	o.printf("%s", data)
}

// newWithDefaults returns a new addressable value with its defaults set.
func newWithDefaults(t reflect.Type) reflect.Value {
	v := reflect.New(t).Elem()
	setDefaults(v)
	return v
}

// writeStruct writes the fields of v. defaults is a value of the same type with the
// default values.
func (o *writer) writeStruct(v, defaults reflect.Value, indent string) {
	o.printf("{\n")
	inner := indent + "  "
	for _, f := range strictjson.FieldsOf(v.Type()).List {
		field, fieldDefaults := v.Field(f.Index), defaults.Field(f.Index)
		o.writeComment(f, inner)
		switch {
		case field.Kind() == reflect.Pointer && field.IsNil():
			o.printf("%s// %q: {},\n", inner, f.Name)
			continue
		case f.OmitEmpty && field.IsZero() && fieldDefaults.IsZero() && !isMultiline(field):
			o.printf("%s// %q: ", inner, f.Name)
		default:
			o.printf("%s%q: ", inner, f.Name)
		}
		o.writeValue(field, fieldDefaults, inner)
		o.printf(",\n")
	}
	o.printf("%s}", indent)
}

// isMultiline reports whether v is a struct that is written on several lines, which
// one line comment cannot contain.
func isMultiline(v reflect.Value) bool { return v.Kind() == reflect.Struct && !isTextType(v.Type()) }

// writeComment writes the doc, unit and range tags of a field as a comment.
func (o *writer) writeComment(f strictjson.Field, indent string) {
	var parts []string
	if doc := f.Tag.Get("doc"); doc != "" {
		parts = append(parts, strings.TrimSuffix(doc, ".")+".")
	}
	if unit := f.Tag.Get("unit"); unit != "" {
		parts = append(parts, "Unit: "+unit+".")
	}
	if r := f.Tag.Get("range"); r != "" {
		parts = append(parts, "Allowed: "+r+".")
	}
	if f.OmitEmpty {
		parts = append(parts, "Optional.")
	}
	if len(parts) > 0 {
		o.printf("%s// %s\n", indent, strings.ReplaceAll(strings.Join(parts, " "), "\n", " "))
	}
}

func (o *writer) writeSlice(v reflect.Value, indent string) {
	if v.Len() == 0 {
		o.printf("[]")
		return
	}
	o.printf("[\n")
	for i := range v.Len() {
		o.printf("%s  ", indent)
		o.writeValue(v.Index(i), newWithDefaults(v.Type().Elem()), indent+"  ")
		o.printf(",\n")
	}
	o.printf("%s]", indent)
}

func (o *writer) writeMap(v reflect.Value, indent string) {
	if v.Len() == 0 {
		o.printf("{}")
		return
	}
	o.printf("{\n")
	for _, key := range sortedKeys(v) {
		o.printf("%s  ", indent)
		o.writeLiteral(key)
		o.printf(": ")
		o.writeValue(v.MapIndex(key), newWithDefaults(v.Type().Elem()), indent+"  ")
		o.printf(",\n")
	}
	o.printf("%s}", indent)
}
