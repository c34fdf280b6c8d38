package e2e_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/e2e"
	"agatelanding.example/agatelanding/internal/fixture"
	"agatelanding.example/agatelanding/internal/standin"
)

func TestE2E(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "end to end")
}

// postCompletion sends a completion request and returns the response and its body.
func postCompletion(base, model, prompt string, tokens int, stream bool) (*http.Response, string) {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream})
	resp, err := http.Post(base+"/v1/completions", "application/json", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp, string(data)
}

// callLedger sends a call with an idempotency key to the ledger service and returns
// the response and its body.
func callLedger(base, key, body string) (*http.Response, string) {
	req, _ := http.NewRequest(http.MethodPost, base+fixture.LedgerPath+"/release", strings.NewReader(body))
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Idempotency-Key-Created", fmt.Sprint(time.Now().UnixMilli()))
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp, string(data)
}

var _ = Describe("A fleet", Ordered, func() {
	var fleet *e2e.Fleet

	BeforeAll(func() {
		var err error
		fleet, err = e2e.Start(e2e.Options{Entries: 2, Engines: 3, Services: 2, Adapters: 20, Slots: 4, StepBase: 2 * time.Millisecond})
		DeferCleanup(fleet.Close)
		Expect(err).NotTo(HaveOccurred())
		for i := range fleet.Entries {
			Eventually(func() int {
				resp, _ := postCompletion(fleet.EntryURL(i), fixture.AdapterName(0), "warm up", 1, false)
				return resp.StatusCode
			}, 10*time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK))
		}
	})

	It("returns the complete answer of the requested adapter", func() {
		for i := range 6 {
			name := fixture.AdapterName(i)
			resp, text := postCompletion(fleet.EntryURL(i%2), name, "turn", 8, false)
			Expect(resp.StatusCode).To(Equal(http.StatusOK), text)
			Expect(text).To(ContainSubstring(standin.Text(name+"@v1", "turn", 8)))
		}
	})

	It("streams a complete answer", func() {
		resp, text := postCompletion(fleet.EntryURL(0), fixture.AdapterName(1), "stream", 5, true)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(strings.Count(text, "data: ")).To(Equal(6))
		Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
	})

	// A call that may not be repeated is sent again with the same idempotency
	// key, through both entries.
	It("executes a call that may not be repeated only once", func() {
		// A target process does not run a call whose key was created less than
		// the clock margin (5 s) plus home_grace_ms after the process started.
		time.Sleep(6 * time.Second)
		for i := range 4 {
			resp, text := callLedger(fleet.EntryURL(i%2), "key-1", "gate 4")
			Expect(resp.StatusCode).To(Equal(http.StatusOK), text)
			Expect(text).To(Equal(standin.Receipt("/ledger/release", []byte("gate 4"))))
		}
		Expect(effects(fleet, "key-1")).To(Equal(1))
	})

	It("applies a changed table", func() {
		fleet.Routes.Routes[2].Version = "v2"
		fleet.Publish()
		Eventually(func() string {
			_, text := postCompletion(fleet.EntryURL(0), fixture.AdapterName(2), "new", 2, false)
			return text
		}, 10*time.Second, 50*time.Millisecond).Should(ContainSubstring(fixture.AdapterName(2) + "@v2"))
	})

	DescribeTable("rejects an invalid request with a status and a code",
		func(method, path, body, code string, status int) {
			req, _ := http.NewRequest(method, fleet.EntryURL(0)+path, strings.NewReader(body))
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(status))
			Expect(resp.Header.Get("X-Agate-Code")).To(Equal(code))
		},
		Entry("empty body", "POST", "/v1/completions", "", "1001", 400),
		Entry("invalid JSON", "POST", "/v1/completions", "{", "1001", 400),
		Entry("no model", "POST", "/v1/completions", "{}", "1001", 400),
		Entry("unknown model", "POST", "/v1/completions", `{"model":"x"}`, "1003", 404),
		Entry("wrong method", "GET", "/v1/completions", "", "1004", 405),
		Entry("unknown path", "POST", "/nowhere", "", "1003", 404),
		Entry("huge body", "POST", "/v1/completions", strings.Repeat("x", 600<<10), "1002", 413),
		Entry("no key", "POST", "/ledger/release", "gate", "1005", 400),
	)
})

// effects returns the number of executions of a key at all services.
func effects(fleet *e2e.Fleet, key string) int {
	n := 0
	for _, s := range fleet.Services {
		n += s.Effects()[key]
	}
	return n
}
