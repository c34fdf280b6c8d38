//go:build faults

package faults_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/procfleet"
)

// revisionOf returns the revision in force at a process, or 0 if there is none.
func revisionOf(adminURL string) uint64 {
	_, body := procfleet.Get(adminURL + "/status")
	var status struct {
		Revision uint64 `json:"revision"`
	}
	_ = json.Unmarshal([]byte(body), &status)
	return status.Revision
}

// entryRevisions returns the revision in force at each entry.
func entryRevisions(f *procfleet.Fleet) []uint64 {
	var list []uint64
	for _, e := range f.Entries {
		list = append(list, revisionOf(e.AdminURL))
	}
	return list
}

// targetRevisions returns the revision in force at each target process of an
// engine.
func targetRevisions(f *procfleet.Fleet) []uint64 {
	var list []uint64
	for _, u := range f.Engines {
		list = append(list, revisionOf(u.AdminURL))
	}
	return list
}

var _ = Describe("Configuration", func() {
	var f *procfleet.Fleet

	BeforeEach(func() { f = startFleet(procfleet.Options{Entries: 3, Engines: 2, Adapters: 4, Slots: 4}) })

	expectInForce := func(revision uint64) {
		GinkgoHelper()
		Eventually(func() []uint64 { return append(entryRevisions(f), targetRevisions(f)...) }, 19*time.Second, 50*time.Millisecond).
			Should(HaveEach(revision))
	}

	It("is in force everywhere within seconds", func() {
		started := time.Now()
		Expect(f.Publish()).To(Succeed())
		expectInForce(2)
		AddReportEntry("in force after", time.Since(started).String())
	})

	// If the configuration service is restored from an old copy, neither a
	// running nor a restarted entry may return to an older revision.
	It("never reverts, even when an entry restarts after the service was set back to revision 1", func() {
		Expect(procfleet.Post(f.ConfigURL + "/control?stale=true")).To(Succeed())
		f.Routes.Routes[0].Version = "v2"
		Expect(f.Publish()).To(Succeed())
		Expect(procfleet.Post(f.ConfigURL + "/control?stale=false")).To(Succeed())
		Expect(f.Publish()).To(Succeed())
		expectInForce(3)
		Expect(f.PublishAs(1)).To(Succeed())
		f.Entries[0].Process.Kill()
		Expect(f.Entries[0].Process.Start()).To(Succeed())
		expectInForce(3)
		Consistently(func() []uint64 { return entryRevisions(f) }, 3*time.Second, 100*time.Millisecond).Should(HaveEach(uint64(3)))
	})

	It("reaches a restarted entry while the service is down", func() {
		expectInForce(1)
		Expect(procfleet.Post(f.ConfigURL + "/control?down=true")).To(Succeed())
		f.Entries[1].Process.Kill()
		Expect(f.Entries[1].Process.Start()).To(Succeed())
		expectInForce(1)
	})

	// The two publications have different content.
	It("is the same at all entries after two operators publish the same revision", func() {
		f.Routes.Routes[0].Version = "left"
		Expect(f.PublishAs(2)).To(Succeed())
		f.Routes.Routes[0].Version = "right"
		Expect(f.PublishAs(2)).To(Succeed())
		expectInForce(2)
		Eventually(func() int {
			answers := map[string]bool{}
			for _, e := range f.Entries {
				answers[answeredVersion(e.URL)] = true
			}
			return len(answers)
		}, 19*time.Second, 200*time.Millisecond).Should(Equal(1))
	})

	// All entries lose their tables at the same time, and the service has been set
	// back to revision 1. The target processes still have the latest revision, so the old
	// tables must not come into force; newer ones must.
	It("never reverts when all entries restart after the service was set back to revision 1", func() {
		Expect(f.Publish()).To(Succeed())
		Expect(f.Publish()).To(Succeed())
		expectInForce(3)
		for _, e := range f.Entries {
			e.Process.Kill()
		}
		Expect(f.PublishAs(1)).To(Succeed())
		for _, e := range f.Entries {
			Expect(e.Process.Start()).To(Succeed())
		}
		Consistently(func() []uint64 { return entryRevisions(f) }, 12*time.Second, 100*time.Millisecond).Should(HaveEach(uint64(0)))
		f.Revision = 3
		Expect(f.Publish()).To(Succeed())
		expectInForce(4)
	})

	It("stays in force while the service is down, and is updated after", func() {
		expectInForce(1)
		post(f.ConfigURL + "/control?down=true")
		Expect(f.Publish()).To(Succeed())
		Consistently(func() []uint64 { return entryRevisions(f) }, 2*time.Second, 100*time.Millisecond).Should(HaveEach(uint64(1)))
		post(f.ConfigURL + "/control?down=false")
		expectInForce(2)
	})

	It("keeps the old tables when new ones are invalid", func() {
		expectInForce(1)
		Expect(procfleet.Put(f.ConfigURL+"/v1/values/agate/manifest", `{"revision":9,"routes":[],"pools":[{"key":"agate/part/none","size":10}]}`)).To(Succeed())
		Consistently(func() []uint64 { return entryRevisions(f) }, 2*time.Second, 100*time.Millisecond).Should(HaveEach(uint64(1)))
		Expect(answeredVersion(f.Entries[0].URL)).To(Equal("v1"))
	})
})

// answeredVersion returns the adapter version in the header of an entry's answer,
// or the text of the error.
func answeredVersion(base string) string {
	header, err := postForVersion(base, "plot-0")
	if err != nil {
		return fmt.Sprint(err)
	}
	return header
}

// postForVersion sends a completion request and returns the header X-Agate-Version
// of the answer.
func postForVersion(base, model string) (string, error) {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": "p", "max_tokens": 1})
	resp, err := http.Post(base+"/v1/completions", "application/json", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	return resp.Header.Get("X-Agate-Version"), nil
}

var _ = Describe("Configuration of a partitioned fleet", func() {
	// Peers cannot reach each other, and one entry gets no new tables from its
	// configuration service either; it can reach only the target processes. It
	// must put the new revision in force once it can reach a peer again.
	DescribeTable("is in force everywhere after the partition",
		func(control string) {
			f := startFleet(procfleet.Options{Entries: 3, Engines: 2, Adapters: 4, Slots: 4, OwnConfigs: true, PeerRelays: true})
			controlPeerRelays := func(path string) {
				for _, e := range f.Entries {
					post(e.PeerRelayControlURL + path)
				}
			}
			controlPeerRelays("/cut")
			post(f.Entries[2].ConfigURL + "/control?" + control + "=true")
			f.Routes.Routes[0].Version = "v2"
			Expect(f.Publish()).To(Succeed())
			Eventually(func() []uint64 { return entryRevisions(f)[:2] }, 19*time.Second, 50*time.Millisecond).Should(HaveEach(uint64(2)))
			Consistently(func() []uint64 { return entryRevisions(f) }, 3*time.Second, 100*time.Millisecond).Should(HaveEach(BeNumerically(">=", 1)))
			Expect(answeredVersion(f.Entries[0].URL)).To(Equal("v2"))
			Expect(answeredVersion(f.Entries[2].URL)).NotTo(Equal("v1"), "a target ran a request by outdated tables")
			controlPeerRelays("/heal")
			Eventually(func() []uint64 { return entryRevisions(f) }, 19*time.Second, 50*time.Millisecond).Should(HaveEach(uint64(2)))
			Expect(answeredVersion(f.Entries[2].URL)).To(Equal("v2"))
		},
		Entry("with the configuration service of one entry down", "down"),
		Entry("with the configuration service of one entry stale", "stale"),
	)
})
