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
	textType     = reflect.TypeFor[encoding.TextUnmarshaler]()
	durationType = reflect.TypeFor[time.Duration]()
)

// isText reports whether a type is written as a string, such as
// netip.AddrPort.
func isText(t reflect.Type) bool { return reflect.PointerTo(t).Implements(textType) }

func errTooLarge(size, limit int64) error {
	return fmt.Errorf("%d bytes, limit %d", size, limit)
}

// checkType refuses settings types that break the rules of this package.
func checkType(t reflect.Type, seen []reflect.Type) error {
	if slices.Contains(seen, t) || isText(t) {
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

// walk calls visit for each struct inside v, outermost first.
func walk(v reflect.Value, path string, visit func(v reflect.Value, path string)) {
	if isText(v.Type()) {
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			walk(v.Elem(), path, visit)
		}
	case reflect.Slice:
		for i := range v.Len() {
			walk(v.Index(i), fmt.Sprintf("%s[%d]", path, i), visit)
		}
	case reflect.Map:
		for _, key := range sortedKeys(v) {
			element := reflect.New(v.Type().Elem()).Elem()
			element.Set(v.MapIndex(key))
			walk(element, path+"["+strconv.Quote(key.String())+"]", visit)
		}
	case reflect.Struct:
		visit(v, path)
		for _, f := range strictjson.FieldsOf(v.Type()).List {
			walk(v.Field(f.Index), strictjson.Join(path, f.Name), visit)
		}
	}
}

func sortedKeys(v reflect.Value) []reflect.Value {
	keys := v.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
	return keys
}

func rangeFaults(v reflect.Value, path string) []Fault {
	var faults []Fault
	for _, f := range strictjson.FieldsOf(v.Type()).List {
		r, _ := parseRange(f.Tag.Get("range"))
		value := v.Field(f.Index)
		if r == nil || (f.OmitEmpty && value.IsZero()) {
			continue
		}
		if reason := r.check(value); reason != "" {
			faults = append(faults, Fault{Field: strictjson.Join(path, f.Name), Reason: reason})
		}
	}
	return faults
}

// valueRange is the meaning of a range tag.
type valueRange struct {
	text     string
	min, max float64
	allowed  []string
}

func parseRange(tag string) (*valueRange, error) {
	if tag == "" {
		return nil, nil
	}
	low, high, ok := strings.Cut(tag, "..")
	if !ok {
		return &valueRange{text: tag, allowed: strings.Split(tag, "|")}, nil
	}
	lowest, lowErr := parseBound(low, math.Inf(-1))
	highest, highErr := parseBound(high, math.Inf(1))
	if err := cmp.Or(lowErr, highErr); err != nil {
		return nil, fmt.Errorf("range %q: %w", tag, err)
	}
	return &valueRange{text: tag, min: lowest, max: highest}, nil
}

func parseBound(text string, open float64) (float64, error) {
	if text == "" {
		return open, nil
	}
	return strconv.ParseFloat(text, 64)
}

// check returns the reason why v is outside the range, or nothing.
func (r *valueRange) check(v reflect.Value) string {
	if r.allowed != nil {
		if slices.Contains(r.allowed, fmt.Sprint(v)) {
			return ""
		}
		return fmt.Sprintf("%q is not one of %s", fmt.Sprint(v), strings.Join(r.allowed, ", "))
	}
	n, what := measure(v)
	if n >= r.min && n <= r.max {
		return ""
	}
	if v.IsZero() && r.min > 0 {
		return fmt.Sprintf("is missing or empty, allowed %s%s", r.text, what)
	}
	return fmt.Sprintf("%g%s is not in %s", n, what, r.text)
}

// measure returns the number that a range bounds and what it counts.
func measure(v reflect.Value) (float64, string) {
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
