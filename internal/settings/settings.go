// Package settings loads the settings files of the programs: JSON with comments,
// checked against the fields of a Go struct. It reports all faults, that is errors
// in a file, at once, each with file, line and field.
//
// A settings type is a struct with these tags:
//
//	json   name of the field; a duration is an integer whose name ends in _ms
//	doc    one sentence for the comment that WriteDefaults writes
//	unit   unit of the value, for the comment
//	range  "1..100", "1.." or "..100" bounds a number, the length of a string
//	       in bytes or the length of an array; "a|b" lists the allowed strings
//
// A field outside its range is a fault, even if it is absent from the file. A field
// with omitempty in its json tag may be empty.
package settings

import (
	"errors"
	"os"
	"reflect"
	"strings"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/strictjson"
)

// MaxFileBytes is the largest size of a settings file.
const MaxFileBytes = 1 << 20

// Fault is an error in one field of a settings file, as returned by Validate.
type Fault struct {
	// Field is the path of the field, such as tls.cert_file or peers[2].
	Field string
	// Reason is the error without the field.
	Reason string
}

// Defaulter is implemented by settings types, also nested ones, that have defaults.
// SetDefaults is called before the values of the file are decoded.
type Defaulter interface{ SetDefaults() }

// Validator is implemented by settings types, also nested ones, that check
// combinations of fields. Field paths in its faults are relative to the type.
type Validator interface{ Validate() []Fault }

// Error lists the faults of one settings file.
type Error struct {
	File   string
	Faults []strictjson.Fault
}

// Error returns one line for each fault.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Text(e.File)
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks the settings file at path. Its error has the code
// result.SettingInvalid and, if the file could be read, wraps an *Error.
func Load[T any](path string) (*T, error) {
	data, err := ReadFile(path, MaxFileBytes)
	if err != nil {
		return nil, result.Wrap(result.SettingInvalid, err)
	}
	return Parse[T](path, data)
}

// ReadFile reads a file of at most limit bytes.
func ReadFile(path string, limit int64) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, &os.PathError{Op: "read", Path: path, Err: errors.New("not a regular file")}
	}
	if info.Size() > limit {
		return nil, &os.PathError{Op: "read", Path: path, Err: errTooLarge(info.Size(), limit)}
	}
	return os.ReadFile(path)
}

// Parse decodes and checks settings; file is their origin in errors.
func Parse[T any](file string, data []byte) (*T, error) {
	v := new(T)
	if err := ParseInto(file, data, v); err != nil {
		return nil, err
	}
	return v, nil
}

// ParseInto is Parse for a type that is known only at run time. v points to a zero
// struct.
func ParseInto(file string, data []byte, v any) error {
	value := reflect.ValueOf(v).Elem()
	if err := checkType(value.Type(), nil); err != nil {
		return result.Wrap(result.Internal, err)
	}
	setDefaults(value)
	doc, fault := strictjson.Parse(data)
	if fault != nil {
		return fail(file, []strictjson.Fault{*fault})
	}
	if faults := doc.DecodeInto(v, setDefaults); len(faults) > 0 {
		return fail(file, append(faults, checkValues(doc, value, faults)...))
	}
	return fail(file, checkValues(doc, value, nil))
}

// checkValues checks ranges and combinations of decoded values. known holds the
// faults found so far; their fields hold defaults and are not reported again.
func checkValues(doc *strictjson.Document, v reflect.Value, known []strictjson.Fault) []strictjson.Fault {
	reported := make(map[string]bool, len(known))
	for _, f := range known {
		reported[f.Field] = true
	}
	var faults []strictjson.Fault
	walkStructs(v, "", func(v reflect.Value, path string) {
		found := rangeFaults(v, path)
		if validator, ok := v.Addr().Interface().(Validator); ok {
			for _, f := range validator.Validate() {
				found = append(found, Fault{Field: fieldPath(path, f.Field), Reason: f.Reason})
			}
		}
		for _, f := range found {
			if !reported[f.Field] && len(known)+len(faults) < strictjson.MaxFaults {
				reported[f.Field] = true
				faults = append(faults, strictjson.Fault{Line: doc.Line(f.Field), Field: f.Field, Reason: f.Reason})
			}
		}
	})
	return faults
}

// fieldPath appends a field to the path of its struct. The field is empty if a
// fault concerns the struct as a whole.
func fieldPath(path, field string) string {
	if field == "" {
		return path
	}
	return strictjson.JoinPath(path, field)
}

// fail returns nil if there are no faults.
func fail(file string, faults []strictjson.Fault) error {
	if len(faults) == 0 {
		return nil
	}
	return result.Wrap(result.SettingInvalid, &Error{File: file, Faults: faults})
}

// setDefaults sets the defaults of v. It sets those of nested structs first, so that
// the outer type can override them.
func setDefaults(v reflect.Value) {
	if v.Kind() != reflect.Struct {
		return
	}
	if !isTextType(v.Type()) {
		for _, f := range strictjson.FieldsOf(v.Type()).List {
			setDefaults(v.Field(f.Index))
		}
	}
	if d, ok := v.Addr().Interface().(Defaulter); ok {
		d.SetDefaults()
	}
}
