//go:build faults

package faults_test

import (
	"context"
	"encoding/json"
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

// until runs load until the fault function returns and for a moment longer.
// It suits faults whose length depends on the fleet.
func until(o load.Options, fault func()) *load.Report {
	stop := make(chan struct{})
	o.Stop, o.Workload.Duration = stop, 2*time.Minute
	done := make(chan *load.Report)
	go func() {
		defer GinkgoRecover()
		report, err := load.Run(context.Background(), o)
		Expect(err).NotTo(HaveOccurred())
		done <- report
	}()
	time.Sleep(settle)
	func() {
		defer close(stop)
		fault()
		time.Sleep(settle)
	}()
	report := <-done
	report.Print(GinkgoWriter)
	return report
}

// settle is how long load runs before and after a fault.
const settle = time.Second

// post sends a control request to a stand-in and fails the spec on an error.
func post(url string) {
	GinkgoHelper()
	Expect(procfleet.Post(url)).To(Succeed())
}

// repeatedly performs two opposite controls at every unit, n times.
func repeatedly(n int, units []*procfleet.Unit, on, off string, d time.Duration) {
	for range n {
		for _, path := range []string{on, off} {
			for _, u := range units {
				post(u.RelayControl + path)
			}
			time.Sleep(d)
		}
	}
}

// stat returns a counter of an engine stand-in.
func stat(u *procfleet.Unit, name string) float64 {
	GinkgoHelper()
	status, body := procfleet.Get(u.BackendURL + "/stats")
	Expect(status).To(Equal(200), body)
	var stats map[string]float64
	Expect(json.Unmarshal([]byte(body), &stats)).To(Succeed())
	return stats[name]
}

// expectNoEvictionInUse checks that no engine was asked to unload an adapter
// that a run was using.
func expectNoEvictionInUse(f *procfleet.Fleet) {
	GinkgoHelper()
	for _, u := range f.Engines {
		Expect(stat(u, "unloads_in_use")).To(BeZero(), u.Row.Name)
	}
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
