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

// Excerpts of the logs of an entry and a target process: lines without a date, cut at their
// begins and ends, and some of them left out.
const (
	entryExcerpt = `== Log of front-1/entry (lines that name the request, then warnings and changes)
13:43:29.917343933 info  relay: send ended id="ed6dccf1b84d375c" entry="front-1" number="377" send="1" target="i-1" connection="12" status="503" believed="not_run" nam
13:43:29.9174 info  relay: send ended id="ed6dccf1b84d375c" entry="front-1" number="378" send="2" target="i-2" conn
026-12-06T13:43:29.9180Z info  relay: refused after a send id="ed6dccf1b84d375c" entry="front-1" number="379" status="503" reason="queue_full" route="r" sends="i-1@1795#12:named_refusal,i-2@0#13:named_refusal" form="length"
13:43:30.05 info  relay: send ended id="7c0de2f0a1b2c3d4" entry="front-1" number="390" send="1" target="i-1" connection="12" status="503" response="declined" believed="not_run" named="true" again="true" carried="1" kept="true"
13:43:30.06 info  relay: send ended id="7c0de2f0a1b2c3d4" entry="front-1" number="391" send="2" target="i-1" connection="12" status="50
13:43:30.07 info  relay: refused after a send id="7c0de2f0a1b2c3d4" entry="front-1" number="391" status="503" reason="queue_full" route="r" sends="i-1@1795#12:named_refusal,i-1@17
13:43:30.1 info  relay: request ended id="910beb5504f4d375c" entry="front-1" number="400" status="200"
`
	targetExcerpt = `343 info  core: reservation refused entry="front-1" number="379" reason="budg
ore: reservation refused entry="front-1" number="400" reason="budget_exceeded"
2026-12-06T13:43:29.4Z info  core: reservation refused entry="front-2" number="379" reason="budget_exceeded"
T13:43:29.5Z info  core: reservation refused entry="front-1" number="377" reason="budget_exceeded"
`
)

var _ = Describe("agatectl trace of excerpts", func() {
	run := func(id string) (int, []string) {
		dir := GinkgoT().TempDir()
		entry, target := filepath.Join(dir, "entry"), filepath.Join(dir, "target")
		Expect(os.WriteFile(entry, []byte(entryExcerpt), 0o600)).To(Succeed())
		Expect(os.WriteFile(target, []byte(targetExcerpt), 0o600)).To(Succeed())
		var out, errs bytes.Buffer
		code := ctl.Run(nil, []string{"trace", id, entry, target}, &out, &errs)
		return code, strings.Split(strings.TrimSpace(out.String()), "\n")
	}

	// Guards against a request of which nothing is found because its lines are cut short, and
	// against claims on what a line has lost.
	It("prints the sends with what is left of their lines, and the reservations refused", func() {
		code, lines := run("ed6dccf1b84d375c")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(lines).To(HaveLen(10))
		Expect(lines[:5]).To(ContainElements(ContainSubstring(`number="379" reason="budg`), ContainSubstring(`T13:43:29.5Z info  core`)))
		Expect(lines[5:]).To(Equal([]string{
			"", "sends:",
			"1 from front-1 to i-1, connection 12: 503; believed not_run",
			"2 from front-1 to i-2: response not in the line",
			"refused by front-1 with 503, queue_full, body with length, after the sends i-1@1795#12:named_refusal, i-2@0#13:named_refusal",
		}))
	})

	// Guards against a return to a target that is overlooked among the sends.
	It("names a target that had the request before, and marks values that are cut off", func() {
		_, lines := run("7c0de2f0a1b2c3d4")
		Expect(lines[len(lines)-3:]).To(Equal([]string{
			"1 from front-1 to i-1, kept connection 12 after 1 requests: 503 declined, names the request; believed not_run, may be sent again",
			"2 from front-1 to i-1, connection 12: 50...; the target had it before, in send 1",
			"refused by front-1 with 503, queue_full, after the sends i-1@1795#12:named_refusal, i-1@17...",
		}))
	})

	DescribeTable("finds the request by", func(name string) {
		code, lines := run(name)
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(lines).To(ContainElement(ContainSubstring("refused by front-1 with 503")))
	},
		Entry("a reservation", "front-1/378"),
		Entry("the begin of its ID", "ed6dccf1"),
		Entry("the end of its ID", "b84d375c"),
	)

	It("takes the only request that a part of an ID fits", func() {
		code, lines := run("f4d375c")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(lines).To(HaveExactElements(ContainSubstring(`number="400" reason="budget_exceeded"`), ContainSubstring(`id="910beb5504f4d375c"`)))
	})

	It("takes a digest for itself although the ID of a request ends with it", func() {
		path := filepath.Join(GinkgoT().TempDir(), "entry")
		Expect(os.WriteFile(path, []byte(`2026-12-06T13:43:29Z info  relay: request ended id="ed6dccf1b84d375c"
2026-12-06T13:43:30Z warn  quarantine: request quarantined digest="b84d375c"
`), 0o600)).To(Succeed())
		var out, errs bytes.Buffer
		Expect(ctl.Run(nil, []string{"trace", "b84d375c", path}, &out, &errs)).To(Equal(ctl.ExitOK))
		Expect(strings.Split(strings.TrimSpace(out.String()), "\n")).To(HaveExactElements(ContainSubstring("request quarantined")))
	})

	DescribeTable("finds no request by", func(name string) {
		code, _ := run(name)
		Expect(code).To(Equal(ctl.ExitFaults))
	},
		Entry("a part that two IDs have", "4d375c"),
		Entry("fewer characters", "dcc1b"),
		Entry("the reservation of another entry", "front-2/378"),
	)
})
