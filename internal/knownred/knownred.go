// Package knownred lets suites pass over the specs that KNOWN-RED.txt lists.
package knownred

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/onsi/ginkgo/v2"
)

// runVariable names the environment variable that makes suites run the listed specs
// too.
const runVariable = "KNOWN_RED"

// entryPrefix begins the line of an entry that holds the full text of its spec.
const entryPrefix = "spec:"

// Specs returns the full texts of the specs that the content of KNOWN-RED.txt lists.
func Specs(content string) []string {
	var specs []string
	for _, line := range strings.Split(content, "\n") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), entryPrefix); ok {
			specs = append(specs, strings.TrimSpace(text))
		}
	}
	return specs
}

// RunSpecs runs the specs of a suite like ginkgo.RunSpecs, except those that
// KNOWN-RED.txt at the root of the module lists. With KNOWN_RED=run it runs all.
func RunSpecs(t ginkgo.GinkgoTestingT, description string) bool {
	suite, reporter := ginkgo.GinkgoConfiguration()
	// Ginkgo matches the description of the suite and the text of the spec.
	for _, text := range listed() {
		suite.SkipStrings = append(suite.SkipStrings, "^"+regexp.QuoteMeta(description+" "+text)+"$")
	}
	return ginkgo.RunSpecs(t, description, suite, reporter)
}

// Listed reports whether KNOWN-RED.txt lists a check that is no spec of ginkgo. With
// KNOWN_RED=run it is always false.
func Listed(text string) bool { return slices.Contains(listed(), text) }

// listed returns the listed specs, none with KNOWN_RED=run.
func listed() []string {
	if os.Getenv(runVariable) == "run" {
		return nil
	}
	return Specs(readList())
}

// readList returns the content of KNOWN-RED.txt, empty if there is none.
func readList() string {
	for dir, _ := os.Getwd(); dir != filepath.Dir(dir); dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			data, _ := os.ReadFile(filepath.Join(dir, "KNOWN-RED.txt"))
			return string(data)
		}
	}
	return ""
}
