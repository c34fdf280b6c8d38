// Package strictjson decodes JSON with comments into Go values and reports all
// faults, that is errors in the document, with line and field. Unknown fields,
// duplicate fields, null and values of another type are faults; encoding/json
// accepts some of them.
package strictjson

import (
	"bytes"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

const (
	// MaxDepth is the deepest nesting of objects and arrays that is accepted.
	// The parser is recursive; a megabyte of opening brackets would need
	// hundreds of megabytes of stack.
	MaxDepth = 64
	// MaxFaults is the largest number of faults that one call reports.
	MaxFaults = 100
)

// Fault is one error in a document, not an injected failure.
type Fault struct {
	// Line counts from 1; 0 means unknown.
	Line int
	// Field is the path of the field, such as pools[2].targets[0].address.
	// It is empty if the fault concerns the whole document.
	Field string
	// Reason is the error without position and field.
	Reason string
}

// String returns "field: reason", or the reason alone if there is no field.
func (f Fault) String() string {
	if f.Field == "" {
		return f.Reason
	}
	return f.Field + ": " + f.Reason
}

// Text returns "file:line: field: reason" without the parts that are unknown.
func (f Fault) Text(file string) string {
	switch {
	case file == "" && f.Line == 0:
		return f.String()
	case file == "":
		return fmt.Sprintf("line %d: %s", f.Line, f)
	case f.Line == 0:
		return fmt.Sprintf("%s: %s", file, f)
	}
	return fmt.Sprintf("%s:%d: %s", file, f.Line, f)
}

// Document is a parsed document with the line of each field.
type Document struct {
	root hujson.Value
	// newlines holds the offsets of the newline characters.
	newlines []int
}

// Parse parses a document and checks its nesting depth. It returns the first
// syntax error as a fault.
func Parse(data []byte) (*Document, *Fault) {
	d := &Document{}
	for i, b := range data {
		if b == '\n' {
			d.newlines = append(d.newlines, i)
		}
	}
	if at, tooDeep := findExcessDepth(data); tooDeep {
		return nil, &Fault{Line: d.lineAt(at), Reason: fmt.Sprintf("nested deeper than %d levels", MaxDepth)}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, syntaxFault(err)
	}
	d.root = root
	return d, nil
}

// syntaxFault turns an error of the parser into a fault. The parser reports line
// and column only in the text of the error.
func syntaxFault(err error) *Fault {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	var line, column int
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &line, &column); n == 2 {
		_, reason, _ := strings.Cut(text, ": ")
		text = fmt.Sprintf("column %d: %s", column, reason)
	}
	return &Fault{Line: line, Reason: "not valid JSON: " + text}
}

// findExcessDepth returns the offset of the first bracket nested deeper than
// MaxDepth, and whether there is one. It skips strings and comments.
func findExcessDepth(data []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '{', '[':
			if depth++; depth > MaxDepth {
				return i, true
			}
		case '}', ']':
			depth--
		case '"':
			i = skipString(data, i)
		case '/':
			i = skipComment(data, i)
		}
	}
	return 0, false
}

// skipString returns the offset of the quote that ends the string starting at i, or
// an offset past the data if there is none.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last character of the comment starting at
// i, which is the newline of a line comment, or i if there is no comment. For a
// comment without an end it returns len(data).
func skipComment(data []byte, i int) int {
	rest := data[i:]
	end := "\n"
	if bytes.HasPrefix(rest, []byte("/*")) {
		end = "*/"
	} else if !bytes.HasPrefix(rest, []byte("//")) {
		return i
	}
	at := bytes.Index(rest[2:], []byte(end))
	if at < 0 {
		return len(data)
	}
	return i + 2 + at + len(end) - 1
}

// lineAt returns the line, counted from 1, of an offset.
func (d *Document) lineAt(offset int) int {
	return sort.SearchInts(d.newlines, offset) + 1
}

// Line returns the line of the field with the given path. For an absent field it
// returns the line of the innermost present value that would contain it.
func (d *Document) Line(field string) int {
	v := &d.root
	for field != "" {
		var next *hujson.Value
		next, field = resolveStep(v, field)
		if next == nil {
			break
		}
		v = next
	}
	return d.lineAt(v.StartOffset)
}

// resolveStep returns the value that the first segment of a path refers to, nil if
// it is absent, and the rest of the path.
func resolveStep(v *hujson.Value, path string) (*hujson.Value, string) {
	path = strings.TrimPrefix(path, ".")
	index, isIndex := strings.CutPrefix(path, "[")
	if quoted, err := strconv.QuotedPrefix(index); isIndex && err == nil {
		key, _ := strconv.Unquote(quoted)
		return memberValue(v, key), strings.TrimPrefix(index[len(quoted):], "]")
	}
	if isIndex {
		number, rest, _ := strings.Cut(index, "]")
		i, err := strconv.Atoi(number)
		array, ok := v.Value.(*hujson.Array)
		if err != nil || !ok || i < 0 || i >= len(array.Elements) {
			return nil, ""
		}
		return &array.Elements[i], rest
	}
	end := strings.IndexAny(path, ".[")
	if end < 0 {
		end = len(path)
	}
	return memberValue(v, path[:end]), path[end:]
}

// memberValue returns the value of a member of an object, or nil.
func memberValue(v *hujson.Value, name string) *hujson.Value {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return nil
	}
	i := slices.IndexFunc(object.Members, func(m hujson.ObjectMember) bool {
		return m.Name.Value.(hujson.Literal).String() == name
	})
	if i < 0 {
		return nil
	}
	return &object.Members[i].Value
}
