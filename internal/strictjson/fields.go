package strictjson

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"sync"

	"github.com/tailscale/hujson"
)

// units maps suffixes of field names to units. The first match is used; longer
// suffixes come first.
var units = []struct{ suffix, name string }{
	{"_per_second", "units per second"},
	{"_ms", "milliseconds"},
	{"_us", "microseconds"},
	{"_bytes", "bytes"},
	{"_mb", "megabytes"},
	{"_kb", "kilobytes"},
	{"_seconds", "seconds"},
	{"_minutes", "minutes"},
	{"_s", "seconds"},
}

// Field is a field of a struct that JSON can set.
type Field struct {
	// Name is the name in JSON.
	Name string
	// Index is the index of the field in the struct type.
	Index int
	// OmitEmpty reports whether the json tag has the option omitempty.
	OmitEmpty bool
	Tag       reflect.StructTag
}

// maxFields is the largest number of fields that a struct may have.
const maxFields = 128

// Fields holds the fields of a struct type. List is in order of declaration.
type Fields struct {
	List   []Field
	byName map[string]Field
}

// fieldCache holds the result of FieldsOf by reflect.Type.
var fieldCache sync.Map

// FieldsOf returns the fields of a struct type that JSON can set.
func FieldsOf(t reflect.Type) *Fields {
	if cached, ok := fieldCache.Load(t); ok {
		return cached.(*Fields)
	}
	fields := &Fields{byName: make(map[string]Field)}
	for i := range t.NumField() {
		sf := t.Field(i)
		name, options, _ := strings.Cut(sf.Tag.Get("json"), ",")
		if !sf.IsExported() || name == "-" {
			continue
		}
		if i >= maxFields {
			panic(fmt.Sprintf("%s has more than %d fields", t, maxFields))
		}
		if name == "" {
			name = sf.Name
		}
		f := Field{Name: name, Index: i, OmitEmpty: strings.Contains(options, "omitempty"), Tag: sf.Tag}
		fields.List = append(fields.List, f)
		fields.byName[name] = f
	}
	fieldCache.Store(t, fields)
	return fields
}

// lookup finds a field by its name as a JSON string. It unquotes only names with
// an escape.
func (f *Fields) lookup(name hujson.Literal) (Field, bool) {
	if bytes.IndexByte(name, '\\') < 0 && len(name) >= 2 {
		field, ok := f.byName[string(name[1:len(name)-1])]
		return field, ok
	}
	field, ok := f.byName[name.String()]
	return field, ok
}

// suggestion returns a phrase with the field that an unknown name probably means:
// the same name in another case or with another unit. It is empty if there is none.
func (f *Fields) suggestion(name string) string {
	for _, field := range f.List {
		if strings.EqualFold(field.Name, name) {
			return fmt.Sprintf(", did you mean %q?", field.Name)
		}
	}
	for _, field := range f.List {
		if withoutUnit(field.Name) == withoutUnit(name) {
			return fmt.Sprintf(", did you mean %q%s?", field.Name, inUnitPhrase(field.Name))
		}
	}
	return ""
}

// inUnitPhrase returns " in" and the unit in the suffix of a field name, or an
// empty string.
func inUnitPhrase(name string) string {
	if unit := unitPhrase(name); unit != "" {
		return " in" + strings.TrimPrefix(unit, " of")
	}
	return ""
}

// withoutUnit returns a field name without the suffix of its unit.
func withoutUnit(name string) string {
	for _, u := range units {
		if s, ok := strings.CutSuffix(name, u.suffix); ok {
			return s
		}
	}
	return name
}

// JoinPath appends the name of a field to the path of its struct.
func JoinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
