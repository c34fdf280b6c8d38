// Package strictjson decodes JSON with comments into Go values and reports
// every fault with its line and field. Unknown fields, duplicate fields, null
// and values of another type are faults; encoding/json accepts some of them.
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
	// MaxDepth is the deepest nesting of objects and arrays. The parser is
	// recursive; a megabyte of opening brackets would need hundreds of
	// megabytes of stack.
	MaxDepth = 64
	// MaxFaults is the most faults that one call reports.
	MaxFaults = 100
)

// Fault is one fault of a document.
type Fault struct {
	// Line counts from 1; 0 means that the fault has no place in the file.
	Line int
	// Field is the path of the field, such as pools[2].targets[0].address.
	Field  string
	Reason string
}

// String returns the fault as "field: reason".
func (f Fault) String() string {
	if f.Field == "" {
		return f.Reason
	}
	return f.Field + ": " + f.Reason
}

// Text returns the fault as "file:line: field: reason".
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

// Document is a parsed file that knows the line of each field.
type Document struct {
	root  hujson.Value
	lines []int
}

// Parse reads the syntax of a document.
func Parse(data []byte) (*Document, *Fault) {
	d := &Document{}
	for i, b := range data {
		if b == '\n' {
			d.lines = append(d.lines, i)
		}
	}
	if at, deep := tooDeep(data); deep {
		return nil, &Fault{Line: d.lineAt(at), Reason: fmt.Sprintf("nested deeper than %d levels", MaxDepth)}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, syntaxFault(err)
	}
	d.root = root
	return d, nil
}

// syntaxFault takes line and column from the text of the parser's error.
func syntaxFault(err error) *Fault {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	var line, column int
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &line, &column); n == 2 {
		_, reason, _ := strings.Cut(text, ": ")
		text = fmt.Sprintf("column %d: %s", column, reason)
	}
	return &Fault{Line: line, Reason: "not valid JSON: " + text}
}

// tooDeep finds the offset at which nesting exceeds MaxDepth.
func tooDeep(data []byte) (int, bool) {
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

func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

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

func (d *Document) lineAt(offset int) int {
	return sort.SearchInts(d.lines, offset) + 1
}

// Line returns the line of a field. For a field that the file lacks it
// returns the line of the innermost object around it.
func (d *Document) Line(field string) int {
	v := &d.root
	for field != "" {
		var next *hujson.Value
		next, field = step(v, field)
		if next == nil {
			break
		}
		v = next
	}
	return d.lineAt(v.StartOffset)
}

// step follows the first element of a path.
func step(v *hujson.Value, path string) (*hujson.Value, string) {
	path = strings.TrimPrefix(path, ".")
	index, isIndex := strings.CutPrefix(path, "[")
	if quoted, err := strconv.QuotedPrefix(index); isIndex && err == nil {
		key, _ := strconv.Unquote(quoted)
		return member(v, key), strings.TrimPrefix(index[len(quoted):], "]")
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
	return member(v, path[:end]), path[end:]
}

func member(v *hujson.Value, name string) *hujson.Value {
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
