package ctl_test

import (
	"net/http/httptest"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/platform/standin"
)

const publishedConfig = `{"version": 3,
 "routes": [{"name": "query", "hostname": "h.example", "prefix": "/query/", "kind": "stream", "resumable": true, "timeout_ms": 6000, "service": "llm", "max_attempts": 2}],
 "services": [{"name": "llm", "engine": {"slots": 8, "adapter_slots": 2, "weights_mb": 100, "models": [{"name": "m", "weights_mb": 50, "adapter_mb": 1}]}}]}
`

var _ = Describe("agatectl platform", func() {
	var dir, address string
	BeforeEach(func() {
		dir = GinkgoT().TempDir()
		for name, text := range map[string]string{
			"a.json": publishedConfig, "bad.json": "{\"version\": 3,\n \"routes\": [{\"name\": 5}]}", "cut.json": "{\"version\": 3,\n\n",
		} {
			Expect(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)).To(Succeed())
		}
		store := standin.NewStore()
		store.PutRaw("op/config", []byte(publishedConfig))
		store.Put("op/version/m.a7", map[string]any{"model": "m", "adapter": "a7", "version": 4})
		r := standin.NewReplica("e-1", "m", 2)
		store.Register(r, "llm", "10.0.0.1:80", "z1", "draining")
		server := httptest.NewServer(store)
		DeferCleanup(server.Close)
		address = server.URL
	})

	DescribeTable("gives output and exit code", func(line string, exit int, out, errors string) {
		args := splitArgs(line)
		for i, a := range args {
			if a == "STORE" {
				args[i] = address
			}
		}
		o := run(dir, args...)
		Expect(o.Exit).To(Equal(exit))
		Expect(o.Out).To(ContainSubstring(out))
		Expect(o.Errors).To(ContainSubstring(errors))
		if errors != "" {
			Expect(o.Out).To(BeEmpty(), "output besides an error")
		}
	},
		Entry("without a difference", "platform diff DIR/a.json DIR/a.json", 0, "", ""),
		Entry("with targets and adapters of the store", "platform diff DIR/a.json STORE", 1, "adapter m/a7: version: added, 4\n", ""),
		Entry("as JSON", "platform diff DIR/a.json STORE --output json", 1, `"subject": "target e-1"`, ""),
		Entry("with a field of another type", "platform diff DIR/a.json DIR/bad.json", 2, "", "DIR/bad.json:2: routes.name: is a JSON number, not string"),
		Entry("with a cut file", "platform diff DIR/cut.json DIR/a.json", 2, "", "DIR/cut.json:"),
		Entry("with a missing file", "platform diff DIR/none.json DIR/a.json", 2, "", "none.json"),
		Entry("of a request", "platform explain STORE --host h.example --path /query/1 --model m/a7", 0, "target e-1 drains and gets no new request", ""),
		Entry("of a request without a route", "platform explain DIR/a.json --host h.example --path /other/", 1, "", "1003 unknown_route"),
		Entry("with a wrong format", "platform explain DIR/a.json --host h --path / --output xml", 2, "", "neither text nor json"),
	)
})
