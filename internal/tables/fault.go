package tables

import (
	"errors"
	"slices"
	"strings"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/strictjson"
)

// MaxFaults is the largest number of faults that one check lists.
const MaxFaults = strictjson.MaxFaults

// FieldError describes an invalid field. Errors of this package wrap one where
// a single field is invalid.
type FieldError struct {
	// File is the path of the file or the key of the part; it is empty for
	// tables built in memory.
	File string
	// Line counts from 1; 0 means unknown.
	Line int
	// Field is the path of the field, such as pools[2].targets[0].address.
	Field  string
	Reason string
}

// Error returns "file:line: field: reason".
func (e *FieldError) Error() string {
	return strictjson.Fault{Line: e.Line, Field: e.Field, Reason: e.Reason}.Text(e.File)
}

// inRouteTable reports whether the field belongs to the route table.
func (e *FieldError) inRouteTable() bool { return strings.HasPrefix(e.Field, "routes") }

// fieldErrors turns faults of a file into errors with the code.
func fieldErrors(code result.Code, file string, faults []strictjson.Fault) []error {
	list := make([]error, 0, len(faults))
	for _, f := range faults {
		list = append(list, result.Wrap(code, &FieldError{File: file, Line: f.Line, Field: f.Field, Reason: f.Reason}))
	}
	return list
}

// decode parses JSON with comments into v and returns the document, which is nil
// if the syntax is wrong, and all faults.
func decode(file string, data []byte, v any) (*strictjson.Document, []error) {
	doc, faults := strictjson.Decode(data, v)
	return doc, fieldErrors(result.MalformedTable, file, faults)
}

// DecodeStrict parses JSON with comments into v by the rules of package
// strictjson and returns the first fault.
func DecodeStrict(data []byte, v any) error {
	if _, faults := decode("", data, v); len(faults) > 0 {
		return faults[0]
	}
	return nil
}

// sortByPosition orders errors by file and line. Errors that wrap no FieldError
// go last.
func sortByPosition(list []error) {
	slices.SortStableFunc(list, func(a, b error) int {
		var x, y *FieldError
		switch hasX, hasY := errors.As(a, &x), errors.As(b, &y); {
		case !hasX || !hasY:
			return boolToInt(!hasX) - boolToInt(!hasY)
		case x.File != y.File:
			return strings.Compare(x.File, y.File)
		}
		return x.Line - y.Line
	})
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
