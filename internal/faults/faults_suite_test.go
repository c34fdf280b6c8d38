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

// binDir holds the compiled programs.
var binDir string

func TestFaults(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "faults")
}

var _ = BeforeSuite(func() {
	var err error
	binDir, err = os.MkdirTemp("", "agate-bin")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, binDir)
	Expect(procfleet.Build(binDir)).To(Succeed())
})

// startFleet starts a fleet that is closed at the end of the spec, and waits until
// it is ready. If the spec fails, the logs are kept and their folder is reported.
func startFleet(o procfleet.Options) *procfleet.Fleet {
	dir, err := os.MkdirTemp("", "agate-faults")
	Expect(err).NotTo(HaveOccurred())
	fleet, err := procfleet.Start(binDir, dir, o)
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

// loadOptions returns the options of a load run against a fleet. callShare is the
// share of calls to the plain services; the rest are completions.
func loadOptions(f *procfleet.Fleet, rate float64, duration time.Duration, callShare float64) load.Options {
	o := load.Options{RequestTimeout: 30 * time.Second, ExpectedAdapters: map[string]string{}}
	for _, e := range f.Entries {
		o.Entries = append(o.Entries, e.URL)
	}
	for _, u := range f.Services {
		o.Services = append(o.Services, u.BackendURL)
	}
	for _, r := range f.Routes.Routes {
		if r.Model != "" {
			o.ExpectedAdapters[r.Model] = r.Adapter + "@" + r.Version
			o.Workload.Models = append(o.Workload.Models, r.Model)
		}
	}
	w := &o.Workload
	w.Seed, w.Rate, w.Duration, w.Zipf = GinkgoRandomSeed(), rate, duration, 1.0
	w.Tokens, w.LongTokens = 8, 64
	w.CallShare, w.RepeatShare, w.CallPath = callShare, 0.5, fixture.ReleasePath
	return o
}

// runLoadDuring runs load and calls inject after a quarter of the duration. It
// returns the load report once both have ended.
func runLoadDuring(o load.Options, inject func()) *load.Report {
	done := make(chan *load.Report)
	go func() {
		defer GinkgoRecover()
		report, err := load.Run(context.Background(), o)
		Expect(err).NotTo(HaveOccurred())
		done <- report
	}()
	time.Sleep(o.Workload.Duration / 4)
	inject()
	report := <-done
	report.Print(GinkgoWriter)
	return report
}

// runLoadUntil runs load from settleTime before inject is called until settleTime
// after it returns. It is for faults whose duration depends on the fleet.
func runLoadUntil(o load.Options, inject func()) *load.Report {
	stop := make(chan struct{})
	o.Stop, o.Workload.Duration = stop, 2*time.Minute
	done := make(chan *load.Report)
	go func() {
		defer GinkgoRecover()
		report, err := load.Run(context.Background(), o)
		Expect(err).NotTo(HaveOccurred())
		done <- report
	}()
	time.Sleep(settleTime)
	func() {
		defer close(stop)
		inject()
		time.Sleep(settleTime)
	}()
	report := <-done
	report.Print(GinkgoWriter)
	return report
}

// settleTime is how long runLoadUntil runs load before and after a fault.
const settleTime = time.Second

// post sends a control request to a stand-in and fails the spec on an error.
func post(url string) {
	GinkgoHelper()
	Expect(procfleet.Post(url)).To(Succeed())
}

// toggle posts the control request on to the relays of all units, waits for d,
// posts off and waits for d again. It does this n times.
func toggle(n int, units []*procfleet.Unit, on, off string, d time.Duration) {
	for range n {
		for _, path := range []string{on, off} {
			for _, u := range units {
				post(u.RelayControlURL + path)
			}
			time.Sleep(d)
		}
	}
}

// engineStat returns a counter of an engine stand-in.
func engineStat(u *procfleet.Unit, name string) float64 {
	GinkgoHelper()
	status, body := procfleet.Get(u.BackendURL + "/stats")
	Expect(status).To(Equal(200), body)
	var stats map[string]float64
	Expect(json.Unmarshal([]byte(body), &stats)).To(Succeed())
	return stats[name]
}

// expectNoEvictionInUse checks that no engine received an order to unload an
// adapter that a run was using.
func expectNoEvictionInUse(f *procfleet.Fleet) {
	GinkgoHelper()
	for _, u := range f.Engines {
		Expect(engineStat(u, "unloads_in_use")).To(BeZero(), u.Row.Name)
	}
}

// expectCorrectReports checks what must hold whatever fails: no wrong answer, no
// key executed twice, no key reported done but not executed, and no key reported
// not run but executed.
func expectCorrectReports(r *load.Report) {
	GinkgoHelper()
	Expect(r.Wrong).To(BeZero(), "%v", r.Details)
	Expect(r.KeysExecutedTwice).To(BeZero(), "keys executed twice")
	Expect(r.KeysNotExecuted).To(BeZero(), "keys reported done but not executed")
	Expect(r.KeysWronglyDenied).To(BeZero(), "keys reported not run but executed")
}
