package ctl_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/ctl"
)

// Log lines as recorded in a run on a test bench: of an entry, with the name of the
// VM before each line, and of a target process.
const (
	entryLog = `   5.2031 front-bolnisi-1 2026-08-19T21:16:17.203122001Z info  relay: no answer from the target entry="front-bolnisi-1" error="read: connection reset" id="a1" number="160" sent="true" target="i-1"
   5.2264 front-bolnisi-1 2026-08-19T21:16:17.226422001Z info  relay: request ended code="2006" entry="front-bolnisi-1" id="a1" number="161" reason="deadline_passed" status="503"
   5.2265 front-bolnisi-1 2026-08-19T21:16:17.226522001Z info  relay: request ended code="0" entry="front-bolnisi-1" id="b2" number="162" reason="ok" status="200"
not a line of ours
`
	targetLog = `2026-08-19T21:16:17.226122001Z info  core: reservation refused code="2006" entry="front-bolnisi-1" number="161" reason="deadline_passed" running="19" waiting="16"
2026-08-19T21:16:17.226222001Z info  core: reservation refused code="2006" entry="front-gardabani-1" number="161" reason="deadline_passed" running="19" waiting="16"
`
	quarantineLog = `2026-08-19T21:16:17.1Z info  quarantine: engine crashed from_peer="false" parts="5c1e,91bd" suspects="1" target="i-1"
2026-08-19T21:16:17.2Z info  relay: no answer from the target entry="front-bolnisi-1" id="a1" number="160" sent="true" target="i-1"
2026-08-19T21:16:17.3Z info  quarantine: engine crashed from_peer="true" parts="e440" suspects="1" target="i-2"
2026-08-19T21:16:17.4Z warn  quarantine: part quarantined by="front-marneuli-1" crashes="3" generation="1" part="91bd"
2026-08-19T21:16:17.5Z info  relay: request ended code="2019" entry="front-bolnisi-1" id="b2" part="91bd" reason="prompt_quarantined" status="503"
`
)

var _ = Describe("agatectl trace", func() {
	run := func(args ...string) (int, string, string) {
		var out, errs bytes.Buffer
		code := ctl.Run(nil, args, &out, &errs)
		return code, out.String(), errs.String()
	}
	files := func() []string {
		dir := GinkgoT().TempDir()
		paths := []string{filepath.Join(dir, "entry.log"), filepath.Join(dir, "target.log")}
		Expect(os.WriteFile(paths[0], []byte(entryLog), 0o600)).To(Succeed())
		Expect(os.WriteFile(paths[1], []byte(targetLog), 0o600)).To(Succeed())
		return paths
	}

	// The last log line of the target process has the same reservation number but
	// another entry, and must not be printed.
	It("prints the lines of one request from the logs of several processes, in order", func() {
		code, out, _ := run(append([]string{"trace", "a1"}, files()...)...)
		Expect(code).To(Equal(ctl.ExitOK))
		lines := bytes.Split(bytes.TrimSpace([]byte(out)), []byte("\n"))
		Expect(lines).To(HaveLen(3))
		Expect(string(lines[0])).To(ContainSubstring("no answer"))
		Expect(string(lines[1])).To(ContainSubstring(`waiting="16"`))
		Expect(string(lines[1])).To(ContainSubstring("front-bolnisi-1"))
		Expect(string(lines[2])).To(ContainSubstring("request ended"))
	})

	// Guards against an order by text: the zeros at the end of a time are not written.
	It("orders times of different lengths", func() {
		path := filepath.Join(GinkgoT().TempDir(), "entry.log")
		Expect(os.WriteFile(path, []byte(`2026-08-19T21:16:17.2000001Z info  relay: second id="a1"
2026-08-19T21:16:17.2Z info  relay: first id="a1"
`), 0o600)).To(Succeed())
		code, out, _ := run("trace", "a1", path)
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(MatchRegexp(`(?s)first.*second`))
	})

	DescribeTable("prints the lines of the quarantine", func(id string, want ...string) {
		path := filepath.Join(GinkgoT().TempDir(), "quarantine.log")
		Expect(os.WriteFile(path, []byte(quarantineLog), 0o600)).To(Succeed())
		code, out, _ := run("trace", id, path)
		Expect(code).To(Equal(ctl.ExitOK))
		lines := strings.Split(strings.TrimSpace(out), "\n")
		Expect(lines).To(HaveLen(len(want)))
		for i, text := range want {
			Expect(lines[i]).To(ContainSubstring(text))
		}
	},
		Entry("that belong to a request that broke", "a1", `crashed from_peer="false" parts="5c1e,91bd" suspects="1" target="i-1"`, `relay: no answer`),
		Entry("that belong to a request that was refused", "b2", `parts="5c1e,91bd"`, `part quarantined`, `id="b2"`),
		Entry("that belong to a part", "e440", `parts="e440"`),
	)

	It("fails if no line has the id of the request, or if a file cannot be read", func() {
		code, _, errs := run(append([]string{"trace", "zz"}, files()...)...)
		Expect(code).To(Equal(ctl.ExitFaults))
		Expect(errs).To(ContainSubstring("no line of request zz"))
		code, _, _ = run("trace", "a1", "/nonexistent")
		Expect(code).To(Equal(ctl.ExitIO))
	})
})
