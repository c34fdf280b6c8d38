// Package standin holds small stand-ins for the platform: configuration
// service, VM list, weight store, model engine, plain service and a TCP relay
// that can be cut. They serve tests and the demo only and listen on loopback.
package standin

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// Token returns the text of one token of an engine's answer. It depends on
// adapter, version, prompt and position only, so that a client can verify a
// whole answer.
func Token(model, prompt string, position int) string {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s\x00%s\x00%d", model, prompt, position)
	return fmt.Sprintf("%08x ", h.Sum32())
}

// Text returns a whole answer of n tokens.
func Text(model, prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(model, prompt, i))
	}
	return b.String()
}

// ModelName returns the name under which an engine serves an adapter.
func ModelName(adapter, version string) string { return adapter + "@" + version }
