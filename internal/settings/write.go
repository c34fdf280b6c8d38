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

// WriteDefaults writes v, a pointer to a settings struct, as a commented
// settings file that Load reads back unchanged. A zero v is written with its
// defaults. Fields that are empty and optional become comments. A required
// field without a default is written empty, and Load asks for its value.
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
	out.structure(value, defaults, "")
	out.printf("\n")
	return result.Wrap(result.Internal, cmp.Or(out.err, out.w.Flush()))
}

type writer struct {
	w   *bufio.Writer
	err error
}

// printf ignores errors because Flush returns the first one.
func (o *writer) printf(format string, args ...any) { _, _ = fmt.Fprintf(o.w, format, args...) }

func (o *writer) value(v, def reflect.Value, indent string) {
	if isText(v.Type()) {
		o.literal(v)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		o.value(v.Elem(), freshDefaults(v.Type().Elem()), indent)
	case reflect.Struct:
		o.structure(v, def, indent)
	case reflect.Slice:
		o.array(v, indent)
	case reflect.Map:
		o.dictionary(v, indent)
	default:
		o.literal(v)
	}
}

func (o *writer) literal(v reflect.Value) {
	data, err := json.Marshal(v.Interface())
	o.err = cmp.Or(o.err, err)
	o.printf("%s", data)
}

func freshDefaults(t reflect.Type) reflect.Value {
	v := reflect.New(t).Elem()
	setDefaults(v)
	return v
}

func (o *writer) structure(v, def reflect.Value, indent string) {
	o.printf("{\n")
	inner := indent + "  "
	for _, f := range strictjson.FieldsOf(v.Type()).List {
		field, fieldDef := v.Field(f.Index), def.Field(f.Index)
		o.comment(f, inner)
		switch {
		case field.Kind() == reflect.Pointer && field.IsNil():
			o.printf("%s// %q: {},\n", inner, f.Name)
			continue
		case f.OmitEmpty && field.IsZero() && fieldDef.IsZero() && !isStruct(field):
			o.printf("%s// %q: ", inner, f.Name)
		default:
			o.printf("%s%q: ", inner, f.Name)
		}
		o.value(field, fieldDef, inner)
		o.printf(",\n")
	}
	o.printf("%s}", indent)
}

// isStruct is true for structs written over several lines, which a line
// comment cannot hide.
func isStruct(v reflect.Value) bool { return v.Kind() == reflect.Struct && !isText(v.Type()) }

// comment writes the documentation of a field.
func (o *writer) comment(f strictjson.Field, indent string) {
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

func (o *writer) array(v reflect.Value, indent string) {
	if v.Len() == 0 {
		o.printf("[]")
		return
	}
	o.printf("[\n")
	for i := range v.Len() {
		o.printf("%s  ", indent)
		o.value(v.Index(i), freshDefaults(v.Type().Elem()), indent+"  ")
		o.printf(",\n")
	}
	o.printf("%s]", indent)
}

func (o *writer) dictionary(v reflect.Value, indent string) {
	if v.Len() == 0 {
		o.printf("{}")
		return
	}
	o.printf("{\n")
	for _, key := range sortedKeys(v) {
		o.printf("%s  ", indent)
		o.literal(key)
		o.printf(": ")
		o.value(v.MapIndex(key), freshDefaults(v.Type().Elem()), indent+"  ")
		o.printf(",\n")
	}
	o.printf("%s}", indent)
}
