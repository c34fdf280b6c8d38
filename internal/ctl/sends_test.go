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

const (
	sendsLog = `2026-08-19T21:16:16.5Z warn  log: lines were left out count="5" kind="ordinary" since="2026-08-19T21:16:16.1Z"
2026-08-19T21:16:17.3Z info  relay: send ended again="true" believed="not_run" carried="3" connection="12" entry="e-1" id="a1" kept="true" ms="4" named="true" number="160" response="declined" route="r" send="1" sent="true" status="503" target="i-1" target_started_ms="1795"
2026-08-19T21:16:17.30001Z info  relay: to be sent again entry="e-1" id="a1" number="160" reason="queue_full" send="1" target="i-1"
2026-08-19T21:16:17.4Z info  relay: request ended entry="e-1" id="a1" ms="400" number="161" status="502"
2026-08-19T21:16:17.40001Z info  relay: send ended again="false" believed="may_have_run" carried="0" connection="13" entry="e-1" error="EOF" id="a1" kept="false" ms="30" number="161" route="r" send="2" sent="true" stop="may_have_run" target="i-2" target_started_ms="0"
2026-08-19T21:16:17.5Z info  relay: send ended again="false" believed="not_run" entry="e-1" error="refused" id="b2" number="162" send="1" sent="false" stop="no_time" target="i-2"
2026-08-19T21:16:17.6Z warn  log: lines were left out count="70" kind="ordinary" since="2026-08-19T21:16:17.1Z"
2026-08-19T21:16:17.6Z warn  log: lines were left out count="2" kind="reserved" since="2026-08-19T21:16:17.45Z"
2026-08-19T21:16:18.6Z warn  log: lines were left out count="90" kind="ordinary" since="2026-08-19T21:16:17.7Z"
`
	// oldTargetLog is of a version that reported dropped lines without kind and begin.
	oldTargetLog = `2026-08-19T21:16:18.1Z warn  log: lines were left out count="83"
`
)

var _ = Describe("agatectl trace of a request that may run once", func() {
	var entry, target string
	run := func(id string) (int, []string) {
		dir := GinkgoT().TempDir()
		entry, target = filepath.Join(dir, "entry.log"), filepath.Join(dir, "target.log")
		Expect(os.WriteFile(entry, []byte(sendsLog), 0o600)).To(Succeed())
		Expect(os.WriteFile(target, []byte(oldTargetLog), 0o600)).To(Succeed())
		var out, errs bytes.Buffer
		code := ctl.Run(nil, []string{"trace", id, entry, target}, &out, &errs)
		return code, strings.Split(strings.TrimSpace(out.String()), "\n")
	}

	// Guards against a missing line that is taken for a send that did not happen.
	It("prints its sends and what was left out of the logs meanwhile", func() {
		code, lines := run("a1")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(lines[:4]).To(HaveEach(ContainSubstring(`id="a1"`)))
		Expect(lines[4:]).To(Equal([]string{
			"", "sends:",
			"1 from e-1 to i-1 (started 1795), kept connection 12 after 3 requests: 503 declined, names the request; believed not_run, may be sent again",
			"2 from e-1 to i-2, new connection 13: EOF, maybe sent; believed may_have_run, not sent again",
			entry + ": left out 70 ordinary lines from 2026-08-19T21:16:17.1Z to 2026-08-19T21:16:17.6Z",
			target + ": left out 83 ordinary lines from 2026-08-19T21:16:17.1Z to 2026-08-19T21:16:18.1Z",
		}))
	})

	It("names a send without a connection and reserved lines that were left out", func() {
		_, lines := run("b2")
		Expect(lines).To(ContainElement("1 from e-1 to i-2, no connection: refused, not sent; believed not_run, not sent again: no_time"))
		Expect(lines).To(ContainElement(entry + ": left out 2 reserved lines from 2026-08-19T21:16:17.45Z to 2026-08-19T21:16:17.6Z"))
	})

	// Guards against a line that was never written and is taken for one that was dropped.
	It("prints the texts that were left out", func() {
		path := filepath.Join(GinkgoT().TempDir(), "target.log")
		Expect(os.WriteFile(path, []byte(`2026-08-19T21:16:17Z info  core: line id="a1"
2026-08-19T21:16:17.1Z warn  log: lines were left out count="9" kind="ordinary" since="2026-08-19T21:16:16.9Z" texts="core: order given 6 | relay: sent, and left 3"
2026-08-19T21:16:17.2Z warn  log: lines were left out count="5" kind="ordinary" since="2026-08-19T21:16:16.9Z" texts="core: reservation refused 4"
`), 0o600)).To(Succeed())
		var out, errs bytes.Buffer
		Expect(ctl.Run(nil, []string{"trace", "a1", path}, &out, &errs)).To(Equal(ctl.ExitOK))
		Expect(out.String()).To(ContainSubstring("left out 14 ordinary lines from 2026-08-19T21:16:16.9Z to 2026-08-19T21:16:17.2Z (6 core: order given, 4 core: reservation refused, 3 relay: sent, and left)"))
	})

	It("prints all that was left out if no line has the id", func() {
		code, lines := run("zz")
		Expect(code).To(Equal(ctl.ExitFaults))
		Expect(lines).To(ContainElement(entry + ": left out 165 ordinary lines from 2026-08-19T21:16:16.1Z to 2026-08-19T21:16:18.6Z"))
	})
})
