package tables

import (
	"errors"
	"slices"
	"strings"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/strictjson"
)

// MaxFaults is the most faults that one check lists.
const MaxFaults = strictjson.MaxFaults

// FieldError is a fault of one field. Errors of this package carry one as
// their cause where a field is at fault.
type FieldError struct {
	// File names the file or part; it is empty for tables built in memory.
	File string
	// Line counts from 1; 0 means unknown.
	Line   int
	Field  string
	Reason string
}

// Error returns "file:line: field: reason".
func (e *FieldError) Error() string {
	return strictjson.Fault{Line: e.Line, Field: e.Field, Reason: e.Reason}.Text(e.File)
}

// isRoutes reports whether the field belongs to the route table.
func (e *FieldError) isRoutes() bool { return strings.HasPrefix(e.Field, "routes") }

func fieldErrors(code result.Code, file string, faults []strictjson.Fault) []error {
	list := make([]error, 0, len(faults))
	for _, f := range faults {
		list = append(list, result.Wrap(code, &FieldError{File: file, Line: f.Line, Field: f.Field, Reason: f.Reason}))
	}
	return list
}

// decode parses JSON with comments strictly and reports all faults.
func decode(file string, data []byte, v any) (*strictjson.Document, []error) {
	doc, faults := strictjson.Decode(data, v)
	return doc, fieldErrors(result.MalformedTable, file, faults)
}

// DecodeStrict parses JSON with comments into v and refuses unknown fields.
// It returns the first fault.
func DecodeStrict(data []byte, v any) error {
	if _, faults := decode("", data, v); len(faults) > 0 {
		return faults[0]
	}
	return nil
}

// sortByPlace orders errors by file and line; errors without a place go last.
func sortByPlace(list []error) {
	slices.SortStableFunc(list, func(a, b error) int {
		var x, y *FieldError
		switch hasX, hasY := errors.As(a, &x), errors.As(b, &y); {
		case !hasX || !hasY:
			return btoi(!hasX) - btoi(!hasY)
		case x.File != y.File:
			return strings.Compare(x.File, y.File)
		}
		return x.Line - y.Line
	})
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
