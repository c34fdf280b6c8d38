package strictjson_test

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/tailscale/hujson"

	"agatelanding.example/agatelanding/internal/strictjson"
)

func TestStrictJSON(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "strictjson")
}

// depth returns the nesting depth of a parsed value; a literal has depth 0.
func depth(v hujson.Value) int {
	deepest := 0
	switch x := v.Value.(type) {
	case *hujson.Object:
		for _, m := range x.Members {
			deepest = max(deepest, depth(m.Value))
		}
	case *hujson.Array:
		for _, e := range x.Elements {
			deepest = max(deepest, depth(e))
		}
	default:
		return 0
	}
	return deepest + 1
}

var _ = Describe("Parse", func() {
	nested := strings.Repeat("[", strictjson.MaxDepth+1) + strings.Repeat("]", strictjson.MaxDepth+1)

	// The depth check runs before the parser. Brackets that it skips and the
	// parser does not would overflow the parser's stack.
	DescribeTable("refuses deep nesting wherever the parser would recurse", func(before string) {
		_, fault := strictjson.Parse([]byte(before + nested))
		Expect(fault).NotTo(BeNil())
	},
		Entry("at the start", ""),
		Entry("after a line comment", "// x\n"),
		Entry("after a carriage return", "// x\r"),
		Entry("after a line separator", "// x\u2028"),
		Entry("after a paragraph separator", "// x\u2029"),
		Entry("after a block comment", "/*/ x */"),
		Entry("after a short block comment", "/**/"),
		Entry("after a string with a quote", `["\"",`),
		Entry("after a string with a backslash", `["\\",`),
	)

	DescribeTable("accepts brackets that are not nesting", func(text string) {
		_, fault := strictjson.Parse([]byte(text))
		Expect(fault).To(BeNil())
	},
		Entry("in a line comment", "// "+nested[:70]+"\n1"),
		Entry("in a block comment", "/* "+nested[:70]+" */ 1"),
		Entry("at the ends of comments", strings.Repeat("/* [*/", 70)+strings.Repeat("// [\n", 70)+"1"),
		Entry("in a string", `"`+nested[:70]+`"`),
		Entry("in a string after a quote", `"\"`+nested[:70]+`"`),
		Entry("at the limit", strings.Repeat("[", strictjson.MaxDepth)+strings.Repeat("]", strictjson.MaxDepth)),
		Entry("side by side", "["+strings.Repeat("[],", 100)+"]"),
	)

	It("finds the lines of fields, also of absent ones", func() {
		doc, fault := strictjson.Parse([]byte("{\n\"a\": [\n{\"b\": 1},\n{\"c.d\":\n2}]}"))
		Expect(fault).To(BeNil())
		for field, line := range map[string]int{"": 1, "a": 2, "a[0]": 3, "a[0].b": 3, `a[1]["c.d"]`: 5, "a[1].x": 4, "a[7]": 2, "z.y": 1, "a[x": 2} {
			Expect(doc.Line(field)).To(Equal(line), field)
		}
	})
})

// FuzzParse checks that no accepted input is nested deeper than MaxDepth for the
// parser, and that accepted values decode as encoding/json decodes them.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"", "{}", "// x\r[1]", "/*/[*/1", `{"a":["\"[",{"b":1}]}`, "[[[[", `{"\u0061":1,"a":2}`, "[1,]", `"\ud800"`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, fault := strictjson.Parse(data)
		if fault != nil {
			return
		}
		parsed, err := hujson.Parse(data)
		if err != nil || depth(parsed) > strictjson.MaxDepth {
			t.Fatalf("accepted depth %d, %v", depth(parsed), err)
		}
		var strictResult, standardResult map[string][]string
		if len(doc.DecodeInto(&strictResult, nil)) > 0 {
			return
		}
		standard, _ := hujson.Standardize(bytes.Clone(data))
		if err := json.Unmarshal(standard, &standardResult); err != nil {
			t.Fatalf("accepted %q: %v", data, err)
		}
		for key, list := range standardResult {
			if len(list) == 0 {
				standardResult[key] = nil
			}
		}
		if len(strictResult)+len(standardResult) > 0 && !reflect.DeepEqual(strictResult, standardResult) {
			t.Fatalf("%q: %v, encoding/json %v", data, strictResult, standardResult)
		}
	})
}
