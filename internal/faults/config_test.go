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

func revisionOf(adminURL string) uint64 {
	_, body := procfleet.Get(adminURL + "/status")
	var status struct {
		Revision uint64 `json:"revision"`
	}
	_ = json.Unmarshal([]byte(body), &status)
	return status.Revision
}

func revisions(f *procfleet.Fleet) []uint64 {
	var list []uint64
	for _, e := range f.Entries {
		list = append(list, revisionOf(e.AdminURL))
	}
	return list
}

func targetRevisions(f *procfleet.Fleet) []uint64 {
	var list []uint64
	for _, u := range f.Engines {
		list = append(list, revisionOf(u.AdminURL))
	}
	return list
}

var _ = Describe("Configuration", func() {
	var f *procfleet.Fleet

	BeforeEach(func() { f = start(procfleet.Options{Entries: 3, Engines: 2, Adapters: 4, Slots: 4}) })

	inForce := func(revision uint64) {
		GinkgoHelper()
		Eventually(func() []uint64 { return append(revisions(f), targetRevisions(f)...) }, 19*time.Second, 50*time.Millisecond).
			Should(HaveEach(revision))
	}

	It("is in force everywhere within seconds", func() {
		started := time.Now()
		Expect(f.Publish()).To(Succeed())
		inForce(2)
		AddReportEntry("in force after", time.Since(started).String())
	})

	// A service restored from an old copy must not take an accepted revision
	// back, neither at a running entry nor at a restarted one.
	It("never reverts, also across a restart beside a stale service", func() {
		Expect(procfleet.Post(f.Config + "/control?stale=true")).To(Succeed())
		f.Routes.Routes[0].Version = "v2"
		Expect(f.Publish()).To(Succeed())
		Expect(procfleet.Post(f.Config + "/control?stale=false")).To(Succeed())
		Expect(f.Publish()).To(Succeed())
		inForce(3)
		Expect(f.PublishAs(1)).To(Succeed())
		f.Entries[0].Process.Kill()
		Expect(f.Entries[0].Process.Start()).To(Succeed())
		inForce(3)
		Consistently(func() []uint64 { return revisions(f) }, 3*time.Second, 100*time.Millisecond).Should(HaveEach(uint64(3)))
	})

	It("reaches a new process while the service is down", func() {
		inForce(1)
		Expect(procfleet.Post(f.Config + "/control?down=true")).To(Succeed())
		f.Entries[1].Process.Kill()
		Expect(f.Entries[1].Process.Start()).To(Succeed())
		inForce(1)
	})

	// Two operators publish the same revision with different content.
	It("ends the same everywhere after an operator race", func() {
		f.Routes.Routes[0].Version = "left"
		Expect(f.PublishAs(2)).To(Succeed())
		f.Routes.Routes[0].Version = "right"
		Expect(f.PublishAs(2)).To(Succeed())
		inForce(2)
		Eventually(func() int {
			answers := map[string]bool{}
			for _, e := range f.Entries {
				answers[version(e.URL)] = true
			}
			return len(answers)
		}, 19*time.Second, 200*time.Millisecond).Should(Equal(1))
	})

	// All entries lose the tables at once beside a stale service. The target
	// processes live on and know the revision, so the old tables must not
	// come into force; new ones must.
	It("never reverts when all entries restart beside a stale service", func() {
		Expect(f.Publish()).To(Succeed())
		Expect(f.Publish()).To(Succeed())
		inForce(3)
		for _, e := range f.Entries {
			e.Process.Kill()
		}
		Expect(f.PublishAs(1)).To(Succeed())
		for _, e := range f.Entries {
			Expect(e.Process.Start()).To(Succeed())
		}
		Consistently(func() []uint64 { return revisions(f) }, 12*time.Second, 100*time.Millisecond).Should(HaveEach(uint64(0)))
		f.Revision = 3
		Expect(f.Publish()).To(Succeed())
		inForce(4)
	})

	It("stays at the targets and entries while the service is down, and moves on after", func() {
		inForce(1)
		post(f.Config + "/control?down=true")
		Expect(f.Publish()).To(Succeed())
		Consistently(func() []uint64 { return revisions(f) }, 2*time.Second, 100*time.Millisecond).Should(HaveEach(uint64(1)))
		post(f.Config + "/control?down=false")
		inForce(2)
	})

	It("keeps the old tables when new ones are refused", func() {
		inForce(1)
		Expect(procfleet.Put(f.Config+"/v1/values/agate/manifest", `{"revision":9,"routes":[],"pools":[{"key":"agate/part/none","size":10}]}`)).To(Succeed())
		Consistently(func() []uint64 { return revisions(f) }, 2*time.Second, 100*time.Millisecond).Should(HaveEach(uint64(1)))
		Expect(version(f.Entries[0].URL)).To(Equal("v1"))
	})
})

// version returns the adapter version that an entry's answer names.
func version(base string) string {
	resp, err := postCompletion(base, "plot-0")
	if err != nil {
		return fmt.Sprint(err)
	}
	return resp
}

func postCompletion(base, model string) (string, error) {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": "p", "max_tokens": 1})
	resp, err := http.Post(base+"/v1/completions", "application/json", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	return resp.Header.Get("X-Agate-Version"), nil
}

var _ = Describe("Configuration of a partitioned fleet", func() {
	// One entry sees neither its configuration service nor its peers; it has
	// only the target processes. It must move on once it sees a peer again.
	DescribeTable("is in force everywhere after the partition",
		func(control string) {
			f := start(procfleet.Options{Entries: 3, Engines: 2, Adapters: 4, Slots: 4, OwnConfigs: true, PeerRelays: true})
			part := func(path string) {
				for _, e := range f.Entries {
					post(e.PeerControl + path)
				}
			}
			part("/cut")
			post(f.Entries[2].Config + "/control?" + control + "=true")
			f.Routes.Routes[0].Version = "v2"
			Expect(f.Publish()).To(Succeed())
			Eventually(func() []uint64 { return revisions(f)[:2] }, 19*time.Second, 50*time.Millisecond).Should(HaveEach(uint64(2)))
			Consistently(func() []uint64 { return revisions(f) }, 3*time.Second, 100*time.Millisecond).Should(HaveEach(BeNumerically(">=", 1)))
			Expect(version(f.Entries[0].URL)).To(Equal("v2"))
			Expect(version(f.Entries[2].URL)).NotTo(Equal("v1"), "a target ran a request by tables that are out of date")
			part("/heal")
			Eventually(func() []uint64 { return revisions(f) }, 19*time.Second, 50*time.Millisecond).Should(HaveEach(uint64(2)))
			Expect(version(f.Entries[2].URL)).To(Equal("v2"))
		},
		Entry("with its service down", "down"),
		Entry("with its service stale", "stale"),
	)
})
