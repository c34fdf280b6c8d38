package settings

import (
	"cmp"
	"encoding"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"agatelanding.example/agatelanding/internal/strictjson"
)

var (
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
	durationType        = reflect.TypeFor[time.Duration]()
)

// isTextType reports whether a pointer to t implements encoding.TextUnmarshaler,
// so that the type is written as a string in a settings file, such as
// netip.AddrPort.
func isTextType(t reflect.Type) bool { return reflect.PointerTo(t).Implements(textUnmarshalerType) }

func errTooLarge(size, limit int64) error {
	return fmt.Errorf("%d bytes, limit %d", size, limit)
}

// checkType checks a settings type and its nested types against the rules in the
// package comment. seen holds the types that contain t; it ends the recursion at a
// type that contains itself.
func checkType(t reflect.Type, seen []reflect.Type) error {
	if slices.Contains(seen, t) || isTextType(t) {
		return nil
	}
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		return checkType(t.Elem(), append(seen, t))
	case reflect.Struct:
	default:
		return nil
	}
	for _, f := range strictjson.FieldsOf(t).List {
		sf := t.Field(f.Index)
		if sf.Type == durationType {
			return fmt.Errorf("%s.%s: durations in settings are integers whose name ends in _ms", t, sf.Name)
		}
		if unit := sf.Tag.Get("unit"); unit == "ms" && !strings.HasSuffix(f.Name, "_ms") {
			return fmt.Errorf("%s.%s: unit ms needs a name that ends in _ms", t, sf.Name)
		}
		if _, err := parseRange(sf.Tag.Get("range")); err != nil {
			return fmt.Errorf("%s.%s: %w", t, sf.Name, err)
		}
		if err := checkType(sf.Type, append(seen, t)); err != nil {
			return err
		}
	}
	return nil
}

// walkStructs calls visit with each struct in v and its path, outer structs first.
func walkStructs(v reflect.Value, path string, visit func(v reflect.Value, path string)) {
	if isTextType(v.Type()) {
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			walkStructs(v.Elem(), path, visit)
		}
	case reflect.Slice:
		for i := range v.Len() {
			walkStructs(v.Index(i), fmt.Sprintf("%s[%d]", path, i), visit)
		}
	case reflect.Map:
		for _, key := range sortedKeys(v) {
			element := reflect.New(v.Type().Elem()).Elem()
			element.Set(v.MapIndex(key))
			walkStructs(element, path+"["+strconv.Quote(key.String())+"]", visit)
		}
	case reflect.Struct:
		visit(v, path)
		for _, f := range strictjson.FieldsOf(v.Type()).List {
			walkStructs(v.Field(f.Index), strictjson.JoinPath(path, f.Name), visit)
		}
	}
}

// sortedKeys returns the keys of a map with string keys.
func sortedKeys(v reflect.Value) []reflect.Value {
	keys := v.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
	return keys
}

// rangeFaults returns the fields of the struct v that are outside their range.
func rangeFaults(v reflect.Value, path string) []Fault {
	var faults []Fault
	for _, f := range strictjson.FieldsOf(v.Type()).List {
		r, _ := parseRange(f.Tag.Get("range"))
		value := v.Field(f.Index)
		if r == nil || (f.OmitEmpty && value.IsZero()) {
			continue
		}
		if reason := r.check(value); reason != "" {
			faults = append(faults, Fault{Field: strictjson.JoinPath(path, f.Name), Reason: reason})
		}
	}
	return faults
}

// valueRange is a parsed range tag.
type valueRange struct {
	text     string
	min, max float64
	// allowed lists the allowed strings; it is nil if min and max apply.
	allowed []string
}

// parseRange returns nil for an empty tag.
func parseRange(tag string) (*valueRange, error) {
	if tag == "" {
		return nil, nil
	}
	minText, maxText, ok := strings.Cut(tag, "..")
	if !ok {
		return &valueRange{text: tag, allowed: strings.Split(tag, "|")}, nil
	}
	minimum, minErr := parseBound(minText, math.Inf(-1))
	maximum, maxErr := parseBound(maxText, math.Inf(1))
	if err := cmp.Or(minErr, maxErr); err != nil {
		return nil, fmt.Errorf("range %q: %w", tag, err)
	}
	return &valueRange{text: tag, min: minimum, max: maximum}, nil
}

// parseBound returns unbounded for an empty text.
func parseBound(text string, unbounded float64) (float64, error) {
	if text == "" {
		return unbounded, nil
	}
	return strconv.ParseFloat(text, 64)
}

// check returns why v is outside the range, or an empty string if it is inside.
func (r *valueRange) check(v reflect.Value) string {
	if r.allowed != nil {
		if slices.Contains(r.allowed, fmt.Sprint(v)) {
			return ""
		}
		return fmt.Sprintf("%q is not one of %s", fmt.Sprint(v), strings.Join(r.allowed, ", "))
	}
	n, counted := boundedNumber(v)
	if n >= r.min && n <= r.max {
		return ""
	}
	if v.IsZero() && r.min > 0 {
		return fmt.Sprintf("is missing or empty, allowed %s%s", r.text, counted)
	}
	return fmt.Sprintf("%g%s is not in %s", n, counted, r.text)
}

// boundedNumber returns the number to which a range applies: the length of a string
// or a collection, or the value of a number. The second result is " bytes" or
// " elements" for a length.
func boundedNumber(v reflect.Value) (float64, string) {
	switch v.Kind() {
	case reflect.String:
		return float64(v.Len()), " bytes"
	case reflect.Slice, reflect.Map:
		return float64(v.Len()), " elements"
	case reflect.Float32, reflect.Float64:
		return v.Float(), ""
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return float64(v.Uint()), ""
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return float64(v.Int()), ""
	}
	return 0, ""
}
