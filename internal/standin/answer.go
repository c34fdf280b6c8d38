// Package standin implements small stand-ins for the systems around the serving
// layer: the configuration service, the VM list, the weight store, a model
// engine, a plain service, and a TCP relay that can cut or delay connections.
// They are for tests and the demo only and listen on loopback.
package standin

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// Token returns the text of one token of an engine's answer. It depends only on
// the model name (see ModelName), the prompt and the position, so that a test
// can verify a whole answer.
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
