//go:build faults

package faults_test

import (
	"context"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/fixture"
	"agatelanding.example/agatelanding/internal/load"
	"agatelanding.example/agatelanding/internal/procfleet"
)

var bin string

func TestFaults(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "faults")
}

var _ = BeforeSuite(func() {
	var err error
	bin, err = os.MkdirTemp("", "agate-bin")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, bin)
	Expect(procfleet.Build(bin)).To(Succeed())
})

// start starts a fleet that ends with the spec, and shows where its logs are
// when the spec fails.
func start(o procfleet.Options) *procfleet.Fleet {
	dir, err := os.MkdirTemp("", "agate-faults")
	Expect(err).NotTo(HaveOccurred())
	fleet, err := procfleet.Start(bin, dir, o)
	DeferCleanup(func() {
		fleet.Close()
		if CurrentSpecReport().Failed() {
			AddReportEntry("logs", dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(fleet.WaitReady(10 * time.Second)).To(Succeed())
	return fleet
}

// options returns a run against a fleet: completions only, or calls only.
func options(f *procfleet.Fleet, rate float64, duration time.Duration, callShare float64) load.Options {
	o := load.Options{Timeout: 30 * time.Second, Expected: map[string]string{}}
	for _, e := range f.Entries {
		o.Entries = append(o.Entries, e.URL)
	}
	for _, u := range f.Services {
		o.Services = append(o.Services, u.BackendURL)
	}
	for _, r := range f.Routes.Routes {
		if r.Model != "" {
			o.Expected[r.Model] = r.Adapter + "@" + r.Version
			o.Workload.Models = append(o.Workload.Models, r.Model)
		}
	}
	w := &o.Workload
	w.Seed, w.Rate, w.Duration, w.Zipf = GinkgoRandomSeed(), rate, duration, 1.0
	w.Tokens, w.LongTokens = 8, 64
	w.CallShare, w.RepeatShare, w.CallPath = callShare, 0.5, fixture.ReleasePath
	return o
}

// during runs load and a fault together and returns the load's report.
func during(o load.Options, fault func()) *load.Report {
	done := make(chan *load.Report)
	go func() {
		defer GinkgoRecover()
		report, err := load.Run(context.Background(), o)
		Expect(err).NotTo(HaveOccurred())
		done <- report
	}()
	time.Sleep(o.Workload.Duration / 4)
	fault()
	report := <-done
	report.Print(GinkgoWriter)
	return report
}

// expectTruthful checks what must hold whatever fails: no wrong answer, no key
// executed twice, lost or denied.
func expectTruthful(r *load.Report) {
	GinkgoHelper()
	Expect(r.Wrong).To(BeZero(), "%v", r.Details)
	Expect(r.DoubledKeys).To(BeZero(), "keys executed twice")
	Expect(r.LostKeys).To(BeZero(), "keys reported done and not executed")
	Expect(r.DeniedKeys).To(BeZero(), "keys reported not run and executed")
}
