package edge_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/platform/standin"
)

// statusOf returns a function with the status of a lookup at entry i with a key.
func (f *fleet) statusOf(i int, path, key string) func() int {
	return func() int { return f.lookupAs(i, path, key, nil).status }
}

// runsWith returns the number of requests that ran with a path.
func (f *fleet) runsWith(path string) (n int) {
	for _, s := range f.services {
		for _, run := range s.Runs() {
			if run.URI == path {
				n++
			}
		}
	}
	return n
}

// statusPage returns the fields of the status page of entry i.
func (f *fleet) statusPage(i int) map[string]any {
	resp, err := http.Get("http://" + f.settings[i].MetricsAddress() + "/status")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var page map[string]any
	Expect(json.NewDecoder(resp.Body).Decode(&page)).To(Succeed())
	return page
}

var _ = Describe("A version of the configuration with an odd item", func() {
	const revokeTimeout = 1500 * time.Millisecond
	newFleet := func(entries int) *fleet {
		f := newFleet(0, 2)
		f.bounds.RevokeTimeout = revokeTimeout
		f.configureWorkspaces(2, map[string][]string{"w1": {"key-old", "key-kept"}})
		for range entries {
			f.start()
		}
		for i := range entries {
			Eventually(f.statusOf(i, "/lookup/1", "key-old")).Within(2 * time.Second).Should(Equal(200))
		}
		return f
	}

	// Guards against a version that is dropped whole for one item (review/7): a key that it
	// withdraws goes on working, and one that it adds does not work.
	DescribeTable("takes effect without that item", func(odd map[string]any, status int) {
		f := newFleet(2)
		f.configure(3, map[string]any{"tenants": []map[string]any{standin.Workspace("w1", 1, 0, "key-kept"), odd}})
		for i := range f.entries {
			Eventually(f.statusOf(i, "/lookup/old", "key-old")).Within(revokeTimeout).Should(Equal(401))
		}
		ran := f.runsWith("/lookup/old")
		for i := range f.entries {
			Expect(f.lookupAs(i, "/lookup/1", "key-kept", nil).status).To(Equal(200))
			a := f.lookupAs(i, "/lookup/new", "key-new", nil)
			Expect(a.status).To(Equal(status), a.body)
			if status != 200 {
				Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
				Expect(f.runsWith("/lookup/new")).To(BeZero())
				Expect(fmt.Sprint(f.statusPage(i)["closed_items"])).To(ContainSubstring("tenants[1]"))
			}
			Expect(f.lookupAs(i, "/lookup/old", "key-old", nil).status).To(Equal(401))
			Expect(f.readiness(i)).To(Equal(200))
		}
		Expect(f.runsWith("/lookup/old")).To(Equal(ran))
	},
		Entry("that is a name with a space", standin.Workspace("Two Words", 1, 0, "key-new"), 200),
		Entry("that is a name of another script", standin.Workspace("ქართლი", 1, 0, "key-new"), 200),
		Entry("that is a long name with a quota", standin.Workspace(strings.Repeat("w", 300), 1, 1e6, "key-new"), 200),
		Entry("that is a name which cannot be sent", standin.Workspace("a\nb", 1, 0, "key-new"), 503),
		Entry("that is an unknown unit", map[string]any{"name": "w2", "api_keys": []string{"key-new"}, "unit": "stones", "rate_per_s": 5}, 503),
	)

	It("refuses the requests of a closed route and of no other one", func() {
		f := newFleet(1)
		f.configure(3, nil, route("odd", "/odd/", "sometimes", "ledger", nil))
		Eventually(f.statusOf(0, "/odd/1", "")).Within(revokeTimeout).Should(Equal(503))
		a := f.lookupAs(0, "/odd/1", "", nil)
		Expect(a.body).To(ContainSubstring("2028"))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(f.lookupAs(0, "/lookup/1", "", nil).status).To(Equal(200))
		Expect(f.lookupAs(0, "/none/1", "", nil).status).To(Equal(404))
		Expect(f.runsWith("/odd/1")).To(BeZero())
	})
})

var _ = Describe("A version of the configuration that cannot be read", func() {
	// Guards against a key that goes on working though the version may have withdrawn it, also at
	// an entry that hears of the store by another one, and against an entry that stays ready.
	It("ends the use of all keys after the bound, until one can be read", func() {
		f := newFleet(0, 2)
		f.bounds.RevokeTimeout = 1500 * time.Millisecond
		f.configureWorkspaces(2, map[string][]string{"w1": {"k1"}})
		for range 3 {
			f.start()
		}
		written := time.Now()
		f.store.PutRaw("op/config", []byte(`{"version":3,"tenants":[`))
		for i := range f.entries {
			Eventually(f.statusOf(i, "/lookup/1", "k1")).WithPolling(10 * time.Millisecond).Within(time.Until(written.Add(1500 * time.Millisecond))).Should(Equal(503))
			Expect(f.readiness(i)).To(Equal(503))
			Expect(f.lookupAs(i, "/open/1", "", nil).status).To(Equal(200))
			Expect(f.lookupAs(i, "/lookup/1", "k9", nil).status).To(Equal(503))
			Expect(f.lookupAs(i, "/none/1", "k1", nil).status).To(Equal(503), "the route may be new")
			page := f.statusPage(i)
			Expect(page["configuration_lag_ms"]).To(BeNumerically(">", 0))
			Expect(page["configuration_unreadable_revision"]).To(BeNumerically(">", 0))
			Expect(page["configuration_version"]).To(BeNumerically("==", 2))
			Expect(page["configuration_stored_version"]).To(BeNumerically("==", 0))
		}
		// Longer than keys of a confirmed view are used.
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for i := range f.entries {
				Expect(f.lookupAs(i, "/lookup/1", "k1", nil).status).To(Equal(503))
			}
		}
		f.configureWorkspaces(4, map[string][]string{"w1": {"k1"}})
		for i := range f.entries {
			Eventually(f.statusOf(i, "/lookup/1", "k1")).Within(2 * time.Second).Should(Equal(200))
			Expect(f.readiness(i)).To(Equal(200))
			Expect(f.statusPage(i)["configuration_lag_ms"]).To(BeNumerically("==", 0))
		}
	})

	// Guards against an outage where no bound asks for one.
	It("leaves the former version in force without a bound on withdrawn keys", func() {
		f := newFleet(0, 2)
		f.configureWorkspaces(2, map[string][]string{"w1": {"k1"}})
		f.start()
		f.store.PutRaw("op/config", []byte(`no JSON`))
		Eventually(f.statusOf(0, "/none/1", "k1")).Within(time.Second).Should(Equal(503))
		for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			Expect(f.lookupAs(0, "/lookup/1", "k1", nil).status).To(Equal(200))
		}
		Expect(f.readiness(0)).To(Equal(200))

		// Guards against entries that serve nothing after a restart meanwhile, though others do.
		f.start()
		Expect(f.lookupAs(1, "/lookup/1", "k1", nil).status).To(Equal(200))
		Expect(f.lookupAs(1, "/lookup/1", "k9", nil).status).To(Equal(503))
		Expect(f.statusPage(1)["configuration_lag_ms"]).To(BeNumerically(">", 0))
		f.start()
		Expect(f.lookupAs(2, "/lookup/1", "k1", nil).status).To(Equal(200))
		f.configureWorkspaces(3, map[string][]string{"w1": {"k2"}})
		for i := range f.entries {
			Eventually(f.statusOf(i, "/lookup/1", "k1")).Within(time.Second).Should(Equal(401))
			Expect(f.lookupAs(i, "/lookup/1", "k2", nil).status).To(Equal(200))
		}
	})
})
