package strictjson

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"sync"

	"github.com/tailscale/hujson"
)

// units are the endings of field names that state a unit. Longer endings
// come first.
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

// Field is a field of a struct as JSON names it.
type Field struct {
	Name      string
	Index     int
	OmitEmpty bool
	Tag       reflect.StructTag
}

// maxFields is the most fields that a struct may have.
const maxFields = 128

// Fields are the fields of a struct in order of declaration.
type Fields struct {
	List   []Field
	byName map[string]Field
}

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

// lookup finds a field by its quoted name.
func (f *Fields) lookup(name hujson.Literal) (Field, bool) {
	if bytes.IndexByte(name, '\\') < 0 && len(name) >= 2 {
		known, ok := f.byName[string(name[1:len(name)-1])]
		return known, ok
	}
	known, ok := f.byName[name.String()]
	return known, ok
}

// hint names the field that an unknown name probably means: the same name in
// another case or with another unit.
func (f *Fields) hint(name string) string {
	for _, known := range f.List {
		if strings.EqualFold(known.Name, name) {
			return fmt.Sprintf(", did you mean %q?", known.Name)
		}
	}
	for _, known := range f.List {
		if stem(known.Name) == stem(name) {
			return fmt.Sprintf(", did you mean %q%s?", known.Name, inUnit(known.Name))
		}
	}
	return ""
}

func inUnit(name string) string {
	if unit := unitOf(name); unit != "" {
		return " in" + strings.TrimPrefix(unit, " of")
	}
	return ""
}

// stem is a field name without its unit.
func stem(name string) string {
	for _, u := range units {
		if s, ok := strings.CutSuffix(name, u.suffix); ok {
			return s
		}
	}
	return name
}

// Join appends a field name to a path.
func Join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
