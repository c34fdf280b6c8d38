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

func complete(base, model, prompt string, tokens int, stream bool) (*http.Response, string) {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream})
	resp, err := http.Post(base+"/v1/completions", "application/json", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp, string(data)
}

func call(base, key, body string) (*http.Response, string) {
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
		fleet, err = e2e.Start(e2e.Options{Entries: 2, Engines: 3, Services: 2, Adapters: 20, Slots: 4, Step: 2 * time.Millisecond})
		DeferCleanup(fleet.Close)
		Expect(err).NotTo(HaveOccurred())
		for i := range fleet.Entries {
			Eventually(func() int {
				resp, _ := complete(fleet.URL(i), fixture.AdapterName(0), "warm up", 1, false)
				return resp.StatusCode
			}, 10*time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK))
		}
	})

	It("answers with the right adapter and the whole text", func() {
		for i := range 6 {
			name := fixture.AdapterName(i)
			resp, text := complete(fleet.URL(i%2), name, "turn", 8, false)
			Expect(resp.StatusCode).To(Equal(http.StatusOK), text)
			Expect(text).To(ContainSubstring(standin.Text(name+"@v1", "turn", 8)))
		}
	})

	It("streams a whole answer", func() {
		resp, text := complete(fleet.URL(0), fixture.AdapterName(1), "stream", 5, true)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(strings.Count(text, "data: ")).To(Equal(6))
		Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
	})

	// A caller that sends a call again under the same key must not have it
	// executed again, whichever entry it reaches.
	It("executes a call that may not be repeated once", func() {
		time.Sleep(6 * time.Second) // keys are known after the clock margin
		for i := range 4 {
			resp, text := call(fleet.URL(i%2), "key-1", "gate 4")
			Expect(resp.StatusCode).To(Equal(http.StatusOK), text)
			Expect(text).To(Equal(standin.Receipt("/ledger/release", []byte("gate 4"))))
		}
		Expect(effects(fleet, "key-1")).To(Equal(1))
	})

	It("puts a changed table in force", func() {
		fleet.Routes.Routes[2].Version = "v2"
		fleet.Publish()
		Eventually(func() string {
			_, text := complete(fleet.URL(0), fixture.AdapterName(2), "new", 2, false)
			return text
		}, 10*time.Second, 50*time.Millisecond).Should(ContainSubstring(fixture.AdapterName(2) + "@v2"))
	})

	DescribeTable("answers a wrong request with a status and a code",
		func(method, path, body, code string, status int) {
			req, _ := http.NewRequest(method, fleet.URL(0)+path, strings.NewReader(body))
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(status))
			Expect(resp.Header.Get("X-Agate-Code")).To(Equal(code))
		},
		Entry("empty body", "POST", "/v1/completions", "", "1001", 400),
		Entry("wrong JSON", "POST", "/v1/completions", "{", "1001", 400),
		Entry("no model", "POST", "/v1/completions", "{}", "1001", 400),
		Entry("unknown model", "POST", "/v1/completions", `{"model":"x"}`, "1003", 404),
		Entry("wrong method", "GET", "/v1/completions", "", "1004", 405),
		Entry("unknown path", "POST", "/nowhere", "", "1003", 404),
		Entry("huge body", "POST", "/v1/completions", strings.Repeat("x", 600<<10), "1002", 413),
		Entry("no key", "POST", "/ledger/release", "gate", "1005", 400),
	)
})

func effects(fleet *e2e.Fleet, key string) int {
	n := 0
	for _, s := range fleet.Services {
		n += s.Effects()[key]
	}
	return n
}
