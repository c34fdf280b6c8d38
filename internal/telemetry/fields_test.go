package telemetry_test

import (
	"regexp"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/telemetry"
)

// fieldNames returns the names of the fields of a line that are whole in its first bytes.
func fieldNames(line string, bytes int) (names []string) {
	for _, m := range regexp.MustCompile(`(\w+)="[^"]*"`).FindAllStringSubmatch(line[:min(bytes, len(line))], -1) {
		names = append(names, m[1])
	}
	return names
}

var _ = Describe("The fields of a line", func() {
	// Guards against an excerpt of a log that has lost which request was sent where, and why it
	// counts as not run.
	DescribeTable("that tell what it is about come first", func(text string, fields telemetry.Fields, bytes int, want ...string) {
		out := &buffer{}
		Expect(telemetry.SetupLogs(out, "info")).To(Succeed())
		defer func() { Expect(telemetry.SetupLogs(GinkgoWriter, "info")).To(Succeed()) }()
		telemetry.For("relay").Record(text, fields)
		Expect(fieldNames(out.String(), bytes)).To(Equal(want))
	},
		Entry("of a send", "send ended", telemetry.Fields{
			"id": "2dbf3407d9b3ca60", "entry": "front-marneuli-1", "number": 160, "route": "gate-release", "target": "i-2dbf3407", "target_started_ms": 1795000000000,
			"send": 1, "connection": 12, "kept": true, "carried": 3, "status": 503, "response": "declined", "named": true, "sent": true, "evidence": "named_refusal",
			"believed": "not_run", "again": true, "ms": 4,
		}, 210, "id", "entry", "number", "send", "target", "connection", "status", "believed", "named"),
		Entry("of a request without a response", "no answer from the target", telemetry.Fields{
			"began": false, "digest": "Gex5X6CXzKGkOmxD67wlIg", "entry": "front-bolnisi-1", "error": "context deadline exceeded", "id": "ed6dccf1bb4d375c", "number": 377, "sent": true, "target": "i-8a419c03",
		}, 200, "id", "entry", "number", "target", "sent", "error"),
		Entry("and all others by name", "line", telemetry.Fields{"b": 1, "a": 1, "zz": 1, "c": 1, "route": "r", "id": "i"}, 1000, "id", "route", "a", "b", "c", "zz"),
	)
})
