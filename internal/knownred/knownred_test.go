package knownred_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/knownred"
)

// Guards against a list that hides specs which it does not name.
func TestSpecsTakesOnlySpecLines(t *testing.T) {
	g := NewWithT(t)
	g.Expect(knownred.Specs("Known failures.\n\n1. spec:    An entry waits\n   command: go test\n   spec-like: no\n   spec: A (b) *\n")).To(Equal([]string{"A (b) *"}))
	g.Expect(knownred.Specs("spec: An entry waits")).To(Equal([]string{"An entry waits"}))
	g.Expect(knownred.Specs("")).To(BeEmpty())
}
